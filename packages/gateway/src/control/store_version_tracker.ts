import type {Logger} from '@anvilrudder/observability';

/** What the news of a store work with. */
export interface StoreVersionTrackerOptions {
  /** Tells other hosts of a version. */
  readonly announce: (kind: string, version: number) => void;
  readonly logger: Logger;
  /** Time in which a sound watch brings what another host has seen; 1000. */
  readonly graceMs?: number;
}

interface FollowedKind {
  readonly renew: () => void;
  /** Newest version that this host's own watch brought. */
  seen: number;
  /** Newest version of which another host told. */
  heard: number;
}

const DEFAULT_GRACE_MS = 1000;

/**
 * What hosts tell each other of the newest objects in the store. A connection
 * that went silent shows nothing of it, so a watch that does not bring in time
 * what another host has seen is started anew.
 */
export class StoreVersionTracker {
  private readonly kinds = new Map<string, FollowedKind>();

  private constructor(
    private readonly options: Required<StoreVersionTrackerOptions>,
  ) {}

  /**
   * @example
   * ```ts
   * const news = StoreVersionTracker.create({announce, logger});
   * news.follow('servers/', () => renewal.renew());
   * news.noteSeen('servers/', 12);
   * ```
   */
  static create(options: StoreVersionTrackerOptions): StoreVersionTracker {
    return new StoreVersionTracker({graceMs: DEFAULT_GRACE_MS, ...options});
  }

  /** Names what starts the watch of a kind anew. */
  follow(kind: string, renew: () => void): void {
    this.kinds.set(kind, {renew, seen: 0, heard: 0});
  }

  /** Takes in the version of an object that the own watch brought. */
  noteSeen(kind: string, version: number): void {
    const followed = this.kinds.get(kind);
    if (followed === undefined || version <= followed.seen) return;
    const isNews = version > followed.heard;
    followed.seen = version;
    if (isNews) this.options.announce(kind, version);
  }

  /** Takes in the version that another host has seen. */
  recordRemoteVersion(kind: string, version: number): void {
    const followed = this.kinds.get(kind);
    if (followed === undefined) return;
    if (version <= followed.seen || version <= followed.heard) return;
    followed.heard = version;
    setTimeout(() => {
      if (followed.seen >= version) return;
      const {seen} = followed;
      this.options.logger.info('watch_behind', {kind, seen, heard: version});
      followed.renew();
    }, this.options.graceMs).unref();
  }
}
