import type {RandomSource} from './backoff.js';

/** When a circuit opens, and for how long. */
export interface CircuitBreakerOptions {
  /** Failures in a row that open the circuit. */
  readonly failureThreshold: number;
  /** Longest time open; the real one is uniform between half of it and all. */
  readonly maxOpenMs: number;
}

/**
 * Stops calls to a dependency that fails. An open circuit admits one probe
 * after its time; the probe's success closes it, its failure opens it anew.
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

  /** True when a call may go out now; it must be followed by its outcome. */
  tryAdmit(nowMs: number): boolean {
    if (this.openUntilMs === undefined) return true;
    if (nowMs < this.openUntilMs || this.isProbing) return false;
    this.isProbing = true;
    return true;
  }

  /** Records that a call was answered. */
  recordSuccess(): void {
    this.failures = 0;
    this.openUntilMs = undefined;
    this.isProbing = false;
  }

  /** Records that a call failed for a reason that speaks of the dependency. */
  recordFailure(nowMs: number): void {
    this.failures += 1;
    const isFailedProbe = this.isProbing;
    this.isProbing = false;
    if (!isFailedProbe && this.failures < this.options.failureThreshold) return;
    const openMs = this.options.maxOpenMs * (0.5 + this.random() / 2);
    this.openUntilMs = nowMs + openMs;
  }

  /** Records that a call ended without saying anything of the dependency. */
  recordUnrelatedFailure(): void {
    this.isProbing = false;
  }
}
