import {setTimeout as delay} from 'node:timers/promises';
import type {ChangeOutcome} from '@anvilrudder/peers';
import {
  createRefusedError,
  createUnreachableError,
  describeFailure,
  isNotSent,
  isRefusal,
  type EntryClient,
} from './entry_client.js';
import type {Progress} from './progress.js';

/** A rule file to put in force. */
export interface RuleChange {
  readonly changeId: string;
  /** Empty for the operator of the token. */
  readonly who: string;
  readonly why: string;
  readonly content: string;
  readonly baseRevision: bigint;
  readonly withoutHosts: readonly string[];
}

/** How long to wait for the outcome of a change. */
export interface SubmitOptions {
  readonly timeoutMs: number;
  /** Longest wait for one entry before the next one is asked. */
  readonly callTimeoutMs: number;
  readonly minRetryDelayMs: number;
  readonly maxRetryDelayMs: number;
  /** Rounds over all entries while nothing could be sent. */
  readonly maxUnsentRounds: number;
  /** Returns a number from 0 up to 1. */
  readonly random: () => number;
}

export const DEFAULT_SUBMIT_OPTIONS: SubmitOptions = {
  timeoutMs: 60_000,
  callTimeoutMs: 20_000,
  minRetryDelayMs: 250,
  maxRetryDelayMs: 4_000,
  maxUnsentRounds: 3,
  random: Math.random,
};

/** What is known of a change when the command stops waiting. */
export interface SubmitResult {
  readonly changeId: string;
  /** Undefined when no entry answered; the change may be in force. */
  readonly outcome: ChangeOutcome | undefined;
  readonly failures: readonly string[];
}

/**
 * Submits a change until its outcome is known or the time is up. An
 * unanswered call is repeated at the next entry under the same change id,
 * which is idempotent, so that the change is applied at most once.
 *
 * @throws CliError when the change is refused by its form, or was never sent.
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
  private mayBeSent = false;
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
      this.checkReachable(round);
      const delayMs = this.computeDelayMs(round);
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
    const isWaiting = this.outcome !== undefined;
    const action = isWaiting ? 'waiting for the outcome' : 'offering the rules';
    this.progress.update(`${action} at ${entry.url}`);
    try {
      const outcome = await (isWaiting ? this.read(entry) : this.apply(entry));
      this.outcome = outcome ?? this.outcome;
    } catch (error) {
      this.noteFailure(entry, error);
    }
  }

  private async apply(entry: EntryClient): Promise<ChangeOutcome | undefined> {
    const request = {
      ...this.change,
      withoutHosts: [...this.change.withoutHosts],
    };
    const {outcome} = await entry.control.applyRules(request, this.callOptions);
    this.mayBeSent = true;
    return outcome;
  }

  private async read(entry: EntryClient): Promise<ChangeOutcome | undefined> {
    const {changeId} = this.change;
    const request = {changeId};
    const {outcome} = await entry.control.getChange(request, this.callOptions);
    return outcome;
  }

  private get callOptions(): {readonly timeoutMs: number} {
    const leftMs = this.deadlineMs - performance.now();
    const timeoutMs = Math.min(this.options.callTimeoutMs, Math.ceil(leftMs));
    return {timeoutMs: Math.max(1, timeoutMs)};
  }

  private noteFailure(entry: EntryClient, error: unknown): void {
    // After a call that may have taken effect, a refusal tells nothing of it.
    if (isRefusal(error) && !this.mayBeSent) {
      throw createRefusedError(entry, error);
    }
    if (!isNotSent(error)) this.mayBeSent = true;
    this.failures.push(describeFailure(entry, error));
  }

  private isDecided(): boolean {
    return this.outcome !== undefined && this.outcome.state !== 'undecided';
  }

  private checkReachable(round: number): void {
    const isLastRound = round + 1 >= this.options.maxUnsentRounds;
    if (this.mayBeSent || !isLastRound) return;
    throw createUnreachableError(this.failures);
  }

  private computeDelayMs(round: number): number {
    const {minRetryDelayMs, maxRetryDelayMs, random} = this.options;
    const ceilingMs = Math.min(maxRetryDelayMs, minRetryDelayMs * 2 ** round);
    return ceilingMs * (0.5 + random() / 2);
  }
}
