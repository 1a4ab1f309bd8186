/**
 * Limits on the retries of a service. A retry is any send of a request after
 * its first: the retry of a failed attempt, a resumed stream or an escalation
 * to a larger model.
 */
export interface WindowedRetryBudgetOptions {
  /** Retries allowed per first send in a window. */
  readonly ratio: number;
  /** Retries allowed in a window besides the ratio; this host's share. */
  readonly extra: number;
  readonly windowMs: number;
}

/**
 * Number of buckets per window. A send counts for up to one bucket longer than
 * the window.
 */
const BUCKETS_PER_WINDOW = 20;

interface Bucket {
  index: number;
  firstSends: number;
  retries: number;
}

/** Allowed and actual retries of a window. */
interface WindowSum {
  readonly allowed: number;
  readonly retries: number;
}

/**
 * Counts first sends and retries of one service over a sliding window, and
 * allows a retry while the limit of the window is not reached. Each host only
 * counts its own first sends, so that the sum over all hosts keeps the limit
 * without messages between them.
 */
export class WindowedRetryBudget {
  private buckets: Bucket[] = [];

  private constructor(private options: WindowedRetryBudgetOptions) {}

  /**
   * @example
   * ```ts
   * const budget = WindowedRetryBudget.create({
   *   ratio: 0.5,
   *   extra: 2,
   *   windowMs: 10_000,
   * });
   * budget.recordFirst(nowMs);
   * budget.tryTake(nowMs); // true
   * ```
   */
  static create(options: WindowedRetryBudgetOptions): WindowedRetryBudget {
    return new WindowedRetryBudget(options);
  }

  /** Changes ratio and window; `extra` and the counts so far are kept. */
  configure(options: WindowedRetryBudgetOptions): void {
    this.options = {...options, extra: this.options.extra};
  }

  /** Changes this host's share of the retries allowed besides the ratio. */
  setExtra(extra: number): void {
    this.options = {...this.options, extra};
  }

  /** Counts the first send of a request. */
  recordFirst(nowMs: number): void {
    this.getOrCreateBucket(nowMs).firstSends += 1;
  }

  /** Counts the retries that the window still allows; may be a fraction. */
  countLeft(nowMs: number): number {
    const {allowed, retries} = this.sumWindow(nowMs);
    return allowed - retries;
  }

  /** Returns the used share of the window's allowance, from 0 to 1. */
  readUsedShare(nowMs: number): number {
    const {allowed, retries} = this.sumWindow(nowMs);
    return allowed <= 0 ? 1 : Math.min(1, retries / allowed);
  }

  /**
   * Takes one retry from the budget.
   *
   * @param reserve retries that must remain for more urgent uses.
   * @returns false when the budget does not allow it.
   */
  tryTake(nowMs: number, reserve = 0): boolean {
    if (this.countLeft(nowMs) < 1 + reserve) return false;
    this.getOrCreateBucket(nowMs).retries += 1;
    return true;
  }

  /** Refunds a retry that was taken but not sent. */
  refund(nowMs: number): void {
    const bucket = this.getOrCreateBucket(nowMs);
    bucket.retries = Math.max(0, bucket.retries - 1);
  }

  private sumWindow(nowMs: number): WindowSum {
    this.dropExpired(nowMs);
    const {ratio, extra} = this.options;
    let firstSends = 0;
    let retries = 0;
    for (const bucket of this.buckets) {
      firstSends += bucket.firstSends;
      retries += bucket.retries;
    }
    return {allowed: ratio * firstSends + extra, retries};
  }

  private getOrCreateBucket(nowMs: number): Bucket {
    this.dropExpired(nowMs);
    const index = this.bucketIndexAt(nowMs);
    const newest = this.buckets.at(-1);
    if (newest !== undefined && newest.index >= index) return newest;
    const bucket = {index, firstSends: 0, retries: 0};
    this.buckets.push(bucket);
    return bucket;
  }

  private dropExpired(nowMs: number): void {
    const oldestIndex = this.bucketIndexAt(nowMs) - BUCKETS_PER_WINDOW;
    while (this.buckets.length > 0 && this.buckets[0].index < oldestIndex) {
      this.buckets.shift();
    }
  }

  private bucketIndexAt(nowMs: number): number {
    return Math.floor((nowMs * BUCKETS_PER_WINDOW) / this.options.windowMs);
  }
}
