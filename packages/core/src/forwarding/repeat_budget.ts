/** Bounds of the sends of a service beyond the first of each request. */
export interface RepeatBudgetOptions {
  /** Repeats for each first send in a window. */
  readonly ratio: number;
  /** Repeats in a window that need no first send; this host's part. */
  readonly extra: number;
  readonly windowMs: number;
}

/** Buckets of a window; a repeat counts for up to one bucket too long. */
const BUCKETS_PER_WINDOW = 20;

interface Bucket {
  index: number;
  firsts: number;
  repeats: number;
}

/** Repeats of a window, allowed and made. */
interface WindowSum {
  readonly allowed: number;
  readonly repeats: number;
}

/**
 * Counts first sends and repeats of one service over a sliding window, and
 * allows a repeat while the window has room. Each host spends on its own
 * first sends only, so that the sum over all hosts keeps the bound without
 * messages between them.
 */
export class RepeatBudget {
  private buckets: Bucket[] = [];

  private constructor(private options: RepeatBudgetOptions) {}

  /**
   * @example
   * ```ts
   * const budget = RepeatBudget.create({ratio: 0.5, extra: 2, windowMs: 10_000});
   * budget.recordFirst(nowMs);
   * budget.tryTake(nowMs); // true
   * ```
   */
  static create(options: RepeatBudgetOptions): RepeatBudget {
    return new RepeatBudget(options);
  }

  /** Changes the bounds; what was spent stays spent. */
  configure(options: RepeatBudgetOptions): void {
    this.options = {...options, extra: this.options.extra};
  }

  /** Changes this host's part of the repeats that need no first send. */
  setExtra(extra: number): void {
    this.options = {...this.options, extra};
  }

  /** Counts the first send of a request. */
  recordFirst(nowMs: number): void {
    this.openBucket(nowMs).firsts += 1;
  }

  /** Repeats that the window still allows. */
  countLeft(nowMs: number): number {
    const {allowed, repeats} = this.sumWindow(nowMs);
    return allowed - repeats;
  }

  /** Part of the allowance of the window that is spent, from 0 to 1. */
  readUsedShare(nowMs: number): number {
    const {allowed, repeats} = this.sumWindow(nowMs);
    return allowed <= 0 ? 1 : Math.min(1, repeats / allowed);
  }

  /** Takes one repeat, and keeps `reserve` back for more urgent uses. */
  tryTake(nowMs: number, reserve = 0): boolean {
    if (this.countLeft(nowMs) < 1 + reserve) return false;
    this.openBucket(nowMs).repeats += 1;
    return true;
  }

  /** Returns a repeat that was taken and never sent. */
  refund(nowMs: number): void {
    const bucket = this.openBucket(nowMs);
    bucket.repeats = Math.max(0, bucket.repeats - 1);
  }

  private sumWindow(nowMs: number): WindowSum {
    this.dropOld(nowMs);
    const {ratio, extra} = this.options;
    let firsts = 0;
    let repeats = 0;
    for (const bucket of this.buckets) {
      firsts += bucket.firsts;
      repeats += bucket.repeats;
    }
    return {allowed: ratio * firsts + extra, repeats};
  }

  private openBucket(nowMs: number): Bucket {
    this.dropOld(nowMs);
    const index = this.indexOf(nowMs);
    const last = this.buckets.at(-1);
    if (last !== undefined && last.index >= index) return last;
    const bucket = {index, firsts: 0, repeats: 0};
    this.buckets.push(bucket);
    return bucket;
  }

  private dropOld(nowMs: number): void {
    const oldest = this.indexOf(nowMs) - BUCKETS_PER_WINDOW;
    while (this.buckets.length > 0 && this.buckets[0].index < oldest) {
      this.buckets.shift();
    }
  }

  private indexOf(nowMs: number): number {
    return Math.floor((nowMs * BUCKETS_PER_WINDOW) / this.options.windowMs);
  }
}
