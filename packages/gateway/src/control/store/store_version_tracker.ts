import type {WatchProgress} from '@anvilrudder/clients';
import type {StoreEra} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';

/** Newest store version that a host has seen of one kind of object. */
export interface SeenVersion {
  readonly kind: string;
  readonly version: number;
  /** Era of the version; undefined if the sender knows none. */
  readonly era: number | undefined;
}

/** The watch of one kind of object. */
export interface TrackedWatch {
  restart(): void;
  /** Time for which a watch call has been pending; undefined if none is. */
  readonly pendingMs: number | undefined;
}

/** Dependencies of the store version tracker. */
export interface StoreVersionTrackerOptions {
  /** Announces a version to other hosts. */
  readonly announce: (seen: SeenVersion) => void;
  /** Era of the store; undefined for a store that never loses a write. */
  readonly era?: StoreEra;
  readonly logger: Logger;
  /**
   * Time within which a working watch delivers a change that is known to exist.
   * Default 400.
   */
  readonly graceMs?: number;
}

interface TrackedKind {
  readonly watch: TrackedWatch;
  /** Version up to which this host's own watch has delivered all changes. */
  reached: number;
  /** Version that a watch must have reached to know all known changes. */
  known: number;
  isChecking: boolean;
  /** Time until the next check; it grows while a restart does not help. */
  checkDelayMs: number;
}

const DEFAULT_GRACE_MS = 400;
const MAX_CHECK_DELAY_MS = 5000;

/**
 * Compares, per kind of object, how far the watch of this host has come with the
 * changes that are known from other hosts and from probes of the store. A
 * silent connection reports no error, so a watch that does not deliver a known
 * change in time is restarted. A change of the store's era resets all versions.
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
   * tracker.register('servers/', restarter);
   * tracker.recordProgress('servers/', {storeVersion: 12, newestChange: 9});
   * ```
   */
  static create(options: StoreVersionTrackerOptions): StoreVersionTracker {
    return new StoreVersionTracker({graceMs: DEFAULT_GRACE_MS, ...options});
  }

  /** Registers the watch of a kind. */
  register(kind: string, watch: TrackedWatch): void {
    this.kinds.set(kind, {
      watch,
      reached: 0,
      known: 0,
      isChecking: false,
      checkDelayMs: this.options.graceMs,
    });
  }

  /** Era of all versions; undefined if the store has told none. */
  get era(): number | undefined {
    return this.options.era?.current;
  }

  /** The kinds that are watched. */
  get kindNames(): readonly string[] {
    return [...this.kinds.keys()];
  }

  /** Version up to which the watch of a kind has delivered all changes. */
  getReached(kind: string): number {
    return this.kinds.get(kind)?.reached ?? 0;
  }

  /** The newest change known of each kind. */
  listKnown(): ReadonlyMap<string, number> {
    return new Map([...this.kinds].map(([kind, {known}]) => [kind, known]));
  }

  /** Records how far this host's watch of a kind has come. */
  recordProgress(
    kind: string,
    {storeVersion, newestChange}: WatchProgress,
  ): void {
    const tracked = this.kinds.get(kind);
    if (tracked === undefined) return;
    tracked.reached = Math.max(tracked.reached, storeVersion);
    if (newestChange === undefined || newestChange <= tracked.known) return;
    tracked.known = newestChange;
    this.options.announce({kind, version: newestChange, era: this.era});
  }

  /** Records a change that a probe of the store has found. */
  recordProbed(kind: string, version: number): void {
    const tracked = this.kinds.get(kind);
    if (tracked !== undefined) this.expect(kind, tracked, version);
  }

  /** Returns the watch of a kind; undefined if it is not registered. */
  findWatch(kind: string): TrackedWatch | undefined {
    return this.kinds.get(kind)?.watch;
  }

  /** Restarts the watch of a kind. */
  restart(kind: string): void {
    this.kinds.get(kind)?.watch.restart();
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
    this.expect(kind, tracked, version);
  }

  private expect(kind: string, tracked: TrackedKind, version: number): void {
    if (version <= tracked.known) return;
    tracked.known = version;
    tracked.checkDelayMs = this.options.graceMs;
    this.checkLater(kind, tracked);
  }

  private checkLater(kind: string, tracked: TrackedKind): void {
    if (tracked.isChecking || tracked.reached >= tracked.known) return;
    tracked.isChecking = true;
    setTimeout(() => {
      tracked.isChecking = false;
      this.check(kind, tracked);
    }, tracked.checkDelayMs).unref();
  }

  private check(kind: string, tracked: TrackedKind): void {
    const {reached, known, watch} = tracked;
    if (reached >= known) return;
    // Without a pending call the watch is being listed or is about to call.
    const {pendingMs = 0} = watch;
    if (pendingMs >= this.options.graceMs) {
      this.options.logger.info('watch_behind', {
        kind,
        seen: reached,
        heard: known,
      });
      watch.restart();
      tracked.checkDelayMs = Math.min(
        MAX_CHECK_DELAY_MS,
        2 * tracked.checkDelayMs,
      );
    }
    this.checkLater(kind, tracked);
  }

  private recordLaterEra(heardEra: number): void {
    if (heardEra <= this.heardEra) return;
    this.heardEra = heardEra;
    const check = (): void => {
      const {era} = this;
      if (era === undefined || era >= heardEra) return;
      this.options.logger.info('store_era_behind', {era, heard: heardEra});
      for (const {watch} of this.kinds.values()) watch.restart();
    };
    setTimeout(check, this.options.graceMs).unref();
  }

  private reset(): void {
    for (const tracked of this.kinds.values()) {
      tracked.reached = 0;
      tracked.known = 0;
    }
  }
}
