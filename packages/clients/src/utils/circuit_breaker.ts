import type {RandomSource} from './backoff.js';

/** Options of {@link CircuitBreaker}. */
export interface CircuitBreakerOptions {
  /** Number of consecutive failures that opens the circuit. */
  readonly failureThreshold: number;
  /**
   * Maximum time in milliseconds that the circuit stays open; the actual time
   * is uniform between half of it and all of it.
   */
  readonly maxOpenMs: number;
}

/**
 * Stops calls to a failing dependency. When the time of an open circuit has
 * passed, it admits one probe call at a time. A successful probe closes the
 * circuit, a failed one opens it again.
 */
export class CircuitBreaker {
  private failures = 0;
  private openUntilMs: number | undefined;
  private isProbing = false;

  private constructor(
    private readonly options: CircuitBreakerOptions,
    private readonly random: RandomSource,
  ) {}

  /**
   * @example
   * ```ts
   * const circuit = CircuitBreaker.create(
   *   {failureThreshold: 5, openMs: 1000},
   *   Math.random,
   * );
   * ```
   */
  static create(
    options: CircuitBreakerOptions,
    random: RandomSource,
  ): CircuitBreaker {
    return new CircuitBreaker(options, random);
  }

  /**
   * Returns whether a call may be sent now. If so, the caller must record the
   * outcome of the call.
   */
  tryAdmit(nowMs: number): boolean {
    if (this.openUntilMs === undefined) return true;
    if (nowMs < this.openUntilMs || this.isProbing) return false;
    this.isProbing = true;
    return true;
  }

  /** Records a successful call. */
  recordSuccess(): void {
    this.failures = 0;
    this.openUntilMs = undefined;
    this.isProbing = false;
  }

  /** Records a failure that was caused by the dependency. */
  recordFailure(nowMs: number): void {
    this.failures += 1;
    const isFailedProbe = this.isProbing;
    this.isProbing = false;
    if (!isFailedProbe && this.failures < this.options.failureThreshold) return;
    const openMs = this.options.maxOpenMs * (0.5 + this.random() / 2);
    this.openUntilMs = nowMs + openMs;
  }

  /** Records a failure that says nothing about the state of the dependency. */
  recordUnrelatedFailure(): void {
    this.isProbing = false;
  }
}
