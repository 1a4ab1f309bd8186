/** A request of a session that was sent to a version of a service. */
export interface SessionUse {
  readonly service: string;
  readonly session: string;
  readonly version: string;
}

interface SessionEntry extends SessionUse {
  readonly lastUsedMs: number;
}

/** Maximum number of sessions; the least recently used are evicted first. */
const MAX_SESSIONS = 20_000;

/** Remembers the version of each service that active sessions last used here. */
export class SessionVersions {
  private readonly entries = new Map<string, SessionEntry>();

  private constructor(private readonly sessionMs: number) {}

  /**
   * @param sessionMs idle time after which a session expires.
   * @example
   * ```ts
   * const sessions = SessionVersions.create(5000);
   * sessions.record({service: 'engine', session: 's', version: 'v1'}, nowMs);
   * sessions.list('engine', nowMs + 100); // the use of 'v1'
   * ```
   */
  static create(sessionMs: number): SessionVersions {
    return new SessionVersions(sessionMs);
  }

  /** Records the beginning or the end of a request. */
  record(use: SessionUse, nowMs: number): void {
    const key = `${use.service}\n${use.session}`;
    this.entries.delete(key);
    this.entries.set(key, {...use, lastUsedMs: nowMs});
    this.dropExpired(nowMs);
  }

  /** Lists the sessions that used a service and have not expired. */
  list(service: string, nowMs: number): readonly SessionUse[] {
    return [...this.entries.values()].filter(
      entry =>
        entry.service === service && nowMs - entry.lastUsedMs <= this.sessionMs,
    );
  }

  private dropExpired(nowMs: number): void {
    for (const [key, {lastUsedMs}] of this.entries) {
      const isExpired = nowMs - lastUsedMs > this.sessionMs;
      if (!isExpired && this.entries.size <= MAX_SESSIONS) return;
      this.entries.delete(key);
    }
  }
}
