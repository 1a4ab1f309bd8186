import type {StoreEra} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';

/** Newest store version that a host has seen of one kind of object. */
export interface SeenVersion {
  readonly kind: string;
  readonly version: number;
  /** Era of the version; undefined if the sender knows none. */
  readonly era: number | undefined;
}

/** Dependencies of the store version tracker. */
export interface StoreVersionTrackerOptions {
  /** Announces a version to other hosts. */
  readonly announce: (seen: SeenVersion) => void;
  /** Era of the store; undefined for a store that never loses a write. */
  readonly era?: StoreEra;
  readonly logger: Logger;
  /**
   * Time within which a working watch delivers what another host has seen.
   * Default 1000.
   */
  readonly graceMs?: number;
}

interface TrackedKind {
  readonly restart: () => void;
  /** Newest version delivered by this host's own watch. */
  seen: number;
  /** Newest version announced by another host. */
  heard: number;
}

const DEFAULT_GRACE_MS = 1000;

/**
 * Compares the newest store versions that this host and the other hosts have
 * seen, per kind of object. A stalled connection reports no error, so a watch
 * that does not deliver in time what another host has seen is restarted. A
 * change of the store's era resets all versions.
 */
export class StoreVersionTracker {
  private readonly kinds = new Map<string, TrackedKind>();
  /** Newest era announced by another host. */
  private heardEra = -Infinity;

  private constructor(
    private readonly options: StoreVersionTrackerOptions & {
      readonly graceMs: number;
    },
  ) {
    options.era?.onChange(() => this.reset());
  }

  /**
   * @example
   * ```ts
   * const tracker = StoreVersionTracker.create({announce, logger});
   * tracker.register('servers/', () => restarter.restart());
   * tracker.recordOwnVersion('servers/', 12);
   * ```
   */
  static create(options: StoreVersionTrackerOptions): StoreVersionTracker {
    return new StoreVersionTracker({graceMs: DEFAULT_GRACE_MS, ...options});
  }

  /** Registers a kind and the callback that restarts its watch. */
  register(kind: string, restart: () => void): void {
    this.kinds.set(kind, {restart, seen: 0, heard: 0});
  }

  /** Records the version of an object that this host's watch delivered. */
  recordOwnVersion(kind: string, version: number): void {
    const tracked = this.kinds.get(kind);
    if (tracked === undefined || version <= tracked.seen) return;
    const isFirstReport = version > tracked.heard;
    tracked.seen = version;
    if (!isFirstReport) return;
    this.options.announce({kind, version, era: this.era});
  }

  /**
   * Records a version that another host has seen. Versions of an earlier era
   * are ignored; those of a later one show that this host missed the change.
   */
  recordRemoteVersion({kind, version, era}: SeenVersion): void {
    const tracked = this.kinds.get(kind);
    if (tracked === undefined) return;
    const ownEra = this.era;
    if (era !== undefined && ownEra !== undefined && era !== ownEra) {
      if (era > ownEra) this.recordLaterEra(era);
      return;
    }
    if (version <= tracked.seen || version <= tracked.heard) return;
    tracked.heard = version;
    this.afterGrace(() => {
      if (this.era !== ownEra || tracked.seen >= version) return;
      const {seen} = tracked;
      this.options.logger.info('watch_behind', {kind, seen, heard: version});
      tracked.restart();
    });
  }

  private get era(): number | undefined {
    return this.options.era?.current;
  }

  private recordLaterEra(heardEra: number): void {
    if (heardEra <= this.heardEra) return;
    this.heardEra = heardEra;
    this.afterGrace(() => {
      const {era} = this;
      if (era === undefined || era >= heardEra) return;
      this.options.logger.info('store_era_behind', {era, heard: heardEra});
      for (const {restart} of this.kinds.values()) restart();
    });
  }

  private reset(): void {
    for (const tracked of this.kinds.values()) {
      tracked.seen = 0;
      tracked.heard = 0;
    }
  }

  private afterGrace(check: () => void): void {
    setTimeout(check, this.options.graceMs).unref();
  }
}
