import type {Logger} from '@anvilrudder/observability';

/** Dependencies of the store version tracker. */
export interface StoreVersionTrackerOptions {
  /** Announces a version to other hosts. */
  readonly announce: (kind: string, version: number) => void;
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
 * that does not deliver in time what another host has seen is restarted.
 */
export class StoreVersionTracker {
  private readonly kinds = new Map<string, TrackedKind>();

  private constructor(
    private readonly options: Required<StoreVersionTrackerOptions>,
  ) {}

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
    if (isFirstReport) this.options.announce(kind, version);
  }

  /** Records a version that another host has seen. */
  recordRemoteVersion(kind: string, version: number): void {
    const tracked = this.kinds.get(kind);
    if (tracked === undefined) return;
    if (version <= tracked.seen || version <= tracked.heard) return;
    tracked.heard = version;
    setTimeout(() => {
      if (tracked.seen >= version) return;
      const {seen} = tracked;
      this.options.logger.info('watch_behind', {kind, seen, heard: version});
      tracked.restart();
    }, this.options.graceMs).unref();
  }
}
