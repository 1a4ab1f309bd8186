interface SessionEntry {
  readonly version: string;
  readonly lastUsedMs: number;
}

/** Maximum number of sessions; the least recently used are evicted first. */
const MAX_SESSIONS = 20_000;

/** Remembers the version that each active session was last sent to. */
export class SessionVersions {
  private readonly entries = new Map<string, SessionEntry>();

  private constructor(private readonly sessionMs: number) {}

  /**
   * @param sessionMs idle time after which a session expires.
   * @example
   * ```ts
   * const sessions = SessionVersions.create(5000);
   * sessions.record('s', 'v1', nowMs);
   * sessions.find('s', nowMs + 100); // 'v1'
   * ```
   */
  static create(sessionMs: number): SessionVersions {
    return new SessionVersions(sessionMs);
  }

  record(session: string, version: string, nowMs: number): void {
    this.entries.delete(session);
    this.entries.set(session, {version, lastUsedMs: nowMs});
    this.dropExpired(nowMs);
  }

  find(session: string, nowMs: number): string | undefined {
    const entry = this.entries.get(session);
    if (entry === undefined) return undefined;
    return nowMs - entry.lastUsedMs > this.sessionMs
      ? undefined
      : entry.version;
  }

  private dropExpired(nowMs: number): void {
    for (const [session, {lastUsedMs}] of this.entries) {
      const isExpired = nowMs - lastUsedMs > this.sessionMs;
      if (!isExpired && this.entries.size <= MAX_SESSIONS) return;
      this.entries.delete(session);
    }
  }
}
