import {setTimeout as delay} from 'node:timers/promises';
import type {ChangeOutcome} from '@anvilrudder/peers';
import {
  createRejectedError,
  createUnreachableError,
  describeFailure,
  isConnectionFailure,
  isRejection,
  type EntryClient,
} from './entry_client.js';
import type {Progress} from './progress.js';

/** A rule file to put in force. */
export interface RuleChange {
  readonly changeId: string;
  /** Empty to use the operator of the token. */
  readonly who: string;
  readonly why: string;
  readonly content: string;
  readonly baseRevision: bigint;
  readonly withoutHosts: readonly string[];
}

/** Time limits and retries of the submission of a change. */
export interface SubmitOptions {
  /** Maximum time to wait for the outcome. */
  readonly timeoutMs: number;
  /** Maximum time to wait for one entry before the next one is called. */
  readonly callTimeoutMs: number;
  readonly minRetryDelayMs: number;
  readonly maxRetryDelayMs: number;
  /**
   * Rounds over all entries after which to give up if nothing could be sent.
   */
  readonly maxUnreachableRounds: number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

export const DEFAULT_SUBMIT_OPTIONS: SubmitOptions = {
  timeoutMs: 60_000,
  callTimeoutMs: 20_000,
  minRetryDelayMs: 250,
  maxRetryDelayMs: 4_000,
  maxUnreachableRounds: 3,
  random: Math.random,
};

/** The result of a submission, which may have ended before the change did. */
export interface SubmitResult {
  readonly changeId: string;
  /** Undefined if no entry returned an outcome; the change may be in force. */
  readonly outcome: ChangeOutcome | undefined;
  readonly failures: readonly string[];
}

/**
 * Submits a change and waits until its outcome is known or the timeout expires.
 * An unanswered call is repeated at the next entry with the same change id,
 * which is idempotent, so that the change is applied at most once.
 *
 * @throws CliError when an entry rejects the request before the change may have
 *   been sent, or when the change could not be sent to any entry.
 * @example
 * ```ts
 * await submitChange(entries, change, DEFAULT_SUBMIT_OPTIONS, progress);
 * ```
 */
export function submitChange(
  entries: readonly EntryClient[],
  change: RuleChange,
  options: SubmitOptions,
  progress: Progress,
): Promise<SubmitResult> {
  return ChangeSubmission.create(entries, change, options, progress).run();
}

class ChangeSubmission {
  private readonly deadlineMs: number;
  private outcome: ChangeOutcome | undefined;
  private mayHaveBeenSent = false;
  private failures: string[] = [];

  private constructor(
    private readonly entries: readonly EntryClient[],
    private readonly change: RuleChange,
    private readonly options: SubmitOptions,
    private readonly progress: Progress,
  ) {
    this.deadlineMs = performance.now() + options.timeoutMs;
  }

  static create(
    entries: readonly EntryClient[],
    change: RuleChange,
    options: SubmitOptions,
    progress: Progress,
  ): ChangeSubmission {
    return new ChangeSubmission(entries, change, options, progress);
  }

  async run(): Promise<SubmitResult> {
    for (let round = 0; ; round++) {
      this.failures = [];
      await this.runRound();
      if (this.isDecided()) break;
      this.throwIfUnreachable(round);
      const delayMs = this.computeRetryDelayMs(round);
      if (performance.now() + delayMs >= this.deadlineMs) break;
      await delay(delayMs);
    }
    const {change, outcome, failures} = this;
    return {changeId: change.changeId, outcome, failures};
  }

  private async runRound(): Promise<void> {
    for (const entry of this.entries) {
      if (performance.now() >= this.deadlineMs || this.isDecided()) return;
      await this.tryEntry(entry);
    }
  }

  private async tryEntry(entry: EntryClient): Promise<void> {
    const hasOutcome = this.outcome !== undefined;
    const action = hasOutcome
      ? 'waiting for the outcome'
      : 'submitting the rules';
    this.progress.update(`${action} at ${entry.url}`);
    try {
      const outcome = await (hasOutcome
        ? this.readOutcome(entry)
        : this.apply(entry));
      this.outcome = outcome ?? this.outcome;
    } catch (error) {
      this.recordFailure(entry, error);
    }
  }

  private async apply(entry: EntryClient): Promise<ChangeOutcome | undefined> {
    const request = {
      ...this.change,
      withoutHosts: [...this.change.withoutHosts],
    };
    const {outcome} = await entry.control.applyRules(request, this.callOptions);
    this.mayHaveBeenSent = true;
    return outcome;
  }

  private async readOutcome(
    entry: EntryClient,
  ): Promise<ChangeOutcome | undefined> {
    const {changeId} = this.change;
    const request = {changeId};
    const {outcome} = await entry.control.getChange(request, this.callOptions);
    return outcome;
  }

  private get callOptions(): {readonly timeoutMs: number} {
    const remainingMs = this.deadlineMs - performance.now();
    const timeoutMs = Math.min(
      this.options.callTimeoutMs,
      Math.ceil(remainingMs),
    );
    return {timeoutMs: Math.max(1, timeoutMs)};
  }

  private recordFailure(entry: EntryClient, error: unknown): void {
    // A rejection does not show whether an earlier call has taken effect.
    if (isRejection(error) && !this.mayHaveBeenSent) {
      throw createRejectedError(entry, error);
    }
    if (!isConnectionFailure(error)) this.mayHaveBeenSent = true;
    this.failures.push(describeFailure(entry, error));
  }

  private isDecided(): boolean {
    return this.outcome !== undefined && this.outcome.state !== 'undecided';
  }

  private throwIfUnreachable(round: number): void {
    const isLastRound = round + 1 >= this.options.maxUnreachableRounds;
    if (this.mayHaveBeenSent || !isLastRound) return;
    throw createUnreachableError(this.failures);
  }

  private computeRetryDelayMs(round: number): number {
    const {minRetryDelayMs, maxRetryDelayMs, random} = this.options;
    const ceilingMs = Math.min(maxRetryDelayMs, minRetryDelayMs * 2 ** round);
    return ceilingMs * (0.5 + random() / 2);
  }
}
