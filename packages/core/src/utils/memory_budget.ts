/**
 * What memory is held for. `running`: for a request that is being served, which is
 * never shed; `body`: for a request body that is not complete; `idle`: for a
 * connection without a request; `unread`: for a response that its caller has not read.
 */
export type HoldKind = 'running' | 'body' | 'idle' | 'unread';

/** Why the holder of memory was ended. */
export type ShedReason =
  'stalled_body' | 'idle_connection' | 'slow_reader' | 'arriving_body';

/** Options of {@link MemoryBudget}. */
export interface MemoryBudgetOptions {
  readonly maxBytes: number;
  /** Monotonic clock in milliseconds. */
  readonly readMs: () => number;
  /** Called for each holder that is ended. */
  readonly onShed?: (reason: ShedReason, bytes: number) => void;
}

/** One rule of the order in which holders are ended. */
interface ShedRule {
  readonly reason: ShedReason;
  readonly kind: HoldKind;
  /** Time without progress, in milliseconds, after which the rule applies. */
  readonly minStillMs: number;
  /** Part of the budget at which the rule stops. */
  readonly targetShare: number;
  /** Orders the holders that the rule ends, the first one first. */
  readonly compare: (a: MemoryHold, b: MemoryHold) => number;
}

/** Time without progress after which a body or a connection counts as stalled. */
export const STILL_MS = 500;
/**
 * Bytes that count as progress of a body. Without them, a caller that sends a byte now
 * and then would never be stalled.
 */
const PROGRESS_BYTES = 4096;
/** Sheds down to this share, so that the holders are not searched at each charge. */
const LOW_SHARE = 7 / 8;
/** A body of at least this share of the budget is large. */
const LARGE_SHARE = 1 / 64;

/**
 * The order of load shedding. What stands still goes first, then bodies that arrive:
 * the large ones before the small ones, the youngest first, so that the oldest ones
 * complete. Their requests have not run, unlike those of callers that read.
 */
const SHED_RULES: readonly ShedRule[] = [
  {
    reason: 'stalled_body',
    kind: 'body',
    minStillMs: STILL_MS,
    targetShare: LOW_SHARE,
    compare: (a, b) => b.bytes - a.bytes,
  },
  {
    reason: 'idle_connection',
    kind: 'idle',
    minStillMs: STILL_MS,
    targetShare: LOW_SHARE,
    compare: (a, b) => b.bytes - a.bytes,
  },
  {
    reason: 'slow_reader',
    kind: 'unread',
    minStillMs: STILL_MS,
    targetShare: LOW_SHARE,
    compare: (a, b) => a.progressMs - b.progressMs,
  },
  {
    reason: 'arriving_body',
    kind: 'body',
    minStillMs: 0,
    targetShare: 1,
    compare: (a, b) =>
      Number(b.isLarge) - Number(a.isLarge) || b.beganMs - a.beganMs,
  },
];

/** What cannot wait for memory ends callers that read, the slowest first. */
const LAST_RULE: ShedRule = {
  reason: 'slow_reader',
  kind: 'unread',
  minStillMs: 0,
  targetShare: 1,
  compare: (a, b) => a.progressMs - b.progressMs,
};

/**
 * Memory that a host has for everything that waits: request bodies, connections, and
 * responses that are not read. Addresses callers that send or read slowly, or never
 * finish, in such numbers that their bytes would exceed the memory of the host: over
 * the budget, holders are ended, those that stand still first.
 */
export class MemoryBudget {
  private readonly holds = new Set<MemoryHold>();
  private takenBytes = 0;

  private constructor(private readonly options: MemoryBudgetOptions) {}

  /**
   * @example
   * ```ts
   * const budget = MemoryBudget.create({maxBytes: 1024, readMs: () => performance.now()});
   * const hold = budget.open('body', () => socket.destroy());
   * hold.resize(2000); // ends the holder if it is stalled or the youngest
   * hold.close();
   * ```
   */
  static create(options: MemoryBudgetOptions): MemoryBudget {
    return new MemoryBudget(options);
  }

  get maxBytes(): number {
    return this.options.maxBytes;
  }

  get usedBytes(): number {
    return this.takenBytes;
  }

  get nowMs(): number {
    return this.options.readMs();
  }

  /** True if `bytes` more fit, after others were ended for them where needed. */
  makeRoom(bytes: number): boolean {
    this.relieve(bytes);
    return this.takenBytes + bytes <= this.maxBytes;
  }

  /**
   * Registers a holder of memory.
   *
   * @param shed ends the holder; the hold is closed by then.
   */
  open(kind: HoldKind, shed: () => void = () => undefined): MemoryHold {
    const hold = new MemoryHold(this, kind, shed);
    this.holds.add(hold);
    return hold;
  }

  /** Called by a hold whose size changes. */
  adjust(bytes: number): void {
    this.takenBytes += bytes;
    if (bytes <= 0 || this.takenBytes <= this.maxBytes) return;
    this.relieve(0);
    this.apply(LAST_RULE, this.maxBytes);
  }

  /** Called by a hold that ends. */
  remove(hold: MemoryHold): void {
    this.holds.delete(hold);
  }

  private relieve(neededBytes: number): void {
    if (this.takenBytes + neededBytes <= this.maxBytes) return;
    for (const rule of SHED_RULES) {
      const targetBytes = rule.targetShare * this.maxBytes - neededBytes;
      this.apply(rule, targetBytes);
      if (this.takenBytes <= targetBytes) return;
    }
  }

  private apply(rule: ShedRule, targetBytes: number): void {
    const latestMs = this.nowMs - rule.minStillMs;
    const matching = [...this.holds].filter(
      hold =>
        hold.kind === rule.kind &&
        hold.bytes > 0 &&
        hold.progressMs <= latestMs,
    );
    for (const hold of matching.sort(rule.compare)) {
      if (this.takenBytes <= targetBytes) return;
      if (hold.isClosed) continue;
      const {bytes} = hold;
      hold.shed();
      this.options.onShed?.(rule.reason, bytes);
    }
  }
}

/** Memory that one holder takes from a budget. */
export class MemoryHold {
  readonly beganMs: number;
  /** Time of the last progress. */
  progressMs: number;
  isClosed = false;
  private heldBytes = 0;
  private unprovenBytes = 0;

  /** Created by {@link MemoryBudget.open}. */
  constructor(
    private readonly budget: MemoryBudget,
    private holdKind: HoldKind,
    private onShed: () => void,
  ) {
    this.beganMs = budget.nowMs;
    this.progressMs = this.beganMs;
  }

  get kind(): HoldKind {
    return this.holdKind;
  }

  get bytes(): number {
    return this.heldBytes;
  }

  /**
   * Changes what the memory is held for, which counts as progress.
   *
   * @param shed ends the holder; the hold is closed by then.
   */
  become(kind: HoldKind, shed: () => void = () => undefined): void {
    this.holdKind = kind;
    this.onShed = shed;
    this.markProgress();
  }

  /** True if the hold takes a noticeable part of the budget. */
  get isLarge(): boolean {
    return this.heldBytes >= LARGE_SHARE * this.budget.maxBytes;
  }

  /**
   * Sets what is held, and ends holders if the budget is exceeded by it. This hold may
   * be among them.
   */
  resize(bytes: number): void {
    if (this.isClosed) return;
    const changeBytes = bytes - this.heldBytes;
    this.heldBytes = bytes;
    this.budget.adjust(changeBytes);
  }

  /** Sets what is held if the budget has it, after others were ended for it. */
  tryResize(bytes: number): boolean {
    if (this.isClosed || !this.budget.makeRoom(bytes - this.heldBytes))
      return false;
    this.resize(bytes);
    return true;
  }

  /** Records bytes that have arrived; enough of them count as progress. */
  countProgress(bytes: number): void {
    this.unprovenBytes += bytes;
    if (this.unprovenBytes < PROGRESS_BYTES) return;
    this.markProgress();
  }

  markProgress(): void {
    this.unprovenBytes = 0;
    this.progressMs = this.budget.nowMs;
  }

  /** Called by the budget. */
  shed(): void {
    this.close();
    this.onShed();
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.budget.remove(this);
    this.budget.adjust(-this.heldBytes);
    this.heldBytes = 0;
  }
}
