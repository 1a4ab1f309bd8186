import type {Logger} from '@anvilrudder/observability';

/** What the news of a store work with. */
export interface StoreNewsOptions {
  /** Tells other hosts of a version. */
  readonly announce: (kind: string, version: number) => void;
  readonly logger: Logger;
  /** Time in which a sound watch brings what another host has seen; 1000. */
  readonly graceMs?: number;
}

interface TrackedKind {
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
export class StoreNews {
  private readonly kinds = new Map<string, TrackedKind>();

  private constructor(private readonly options: Required<StoreNewsOptions>) {}

  /**
   * @example
   * ```ts
   * const news = StoreNews.create({announce, logger});
   * news.follow('servers/', () => renewal.renew());
   * news.noteSeen('servers/', 12);
   * ```
   */
  static create(options: StoreNewsOptions): StoreNews {
    return new StoreNews({graceMs: DEFAULT_GRACE_MS, ...options});
  }

  /** Names what starts the watch of a kind anew. */
  register(kind: string, renew: () => void): void {
    this.kinds.set(kind, {renew, seen: 0, heard: 0});
  }

  /** Takes in the version of an object that the own watch brought. */
  recordOwnVersion(kind: string, version: number): void {
    const tracked = this.kinds.get(kind);
    if (tracked === undefined || version <= tracked.seen) return;
    const isNews = version > tracked.heard;
    tracked.seen = version;
    if (isNews) this.options.announce(kind, version);
  }

  /** Takes in the version that another host has seen. */
  noteHeard(kind: string, version: number): void {
    const tracked = this.kinds.get(kind);
    if (tracked === undefined) return;
    if (version <= tracked.seen || version <= tracked.heard) return;
    tracked.heard = version;
    setTimeout(() => {
      if (tracked.seen >= version) return;
      const {seen} = tracked;
      this.options.logger.info('watch_behind', {kind, seen, heard: version});
      tracked.renew();
    }, this.options.graceMs).unref();
  }
}
