/** Maximum number of sessions held in a rollout, on all hosts together. */
const MAX_HELD_SESSIONS = 20_000;

/**
 * Sessions that stay on the old version in the first half of a rollout although
 * they are sampled, because a host has seen them there. Each host tells the
 * others of those that it has seen; sessions are named by their sampling hash.
 */
export class HeldSessions {
  private readonly hashes = new Set<number>();
  /** Seen by this host, in the order in which it saw them. */
  private readonly own: number[] = [];

  private constructor() {}

  /**
   * @example
   * ```ts
   * const held = HeldSessions.create();
   * held.hold(plan.hashKey('session-1'));
   * held.listOwn(0); // to be told to the other hosts
   * ```
   */
  static create(): HeldSessions {
    return new HeldSessions();
  }

  /** Holds a session that this host has seen on the old version. */
  hold(hash: number): void {
    if (this.hashes.has(hash) || this.isFull) return;
    this.hashes.add(hash);
    this.own.push(hash);
  }

  /** Holds the sessions that another host has seen. */
  merge(hashes: readonly number[]): void {
    for (const hash of hashes) {
      if (!this.isFull) this.hashes.add(hash);
    }
  }

  has(hash: number): boolean {
    return this.hashes.has(hash);
  }

  /** True when further sessions can't be held, so that none may be sampled. */
  get isFull(): boolean {
    return this.hashes.size >= MAX_HELD_SESSIONS;
  }

  /** Number of sessions that this host has seen; it only grows. */
  get ownCount(): number {
    return this.own.length;
  }

  /** Lists the sessions that this host has seen, from an index on. */
  listOwn(fromIndex: number): readonly number[] {
    return this.own.slice(fromIndex);
  }
}
