import {
  acquireClaim,
  finishClaim,
  resolveClaimKey,
  RouterError,
  type AcquireOutcome,
  type CallResult,
  type HeldClaim,
  type MemberId,
  type ObjectStore,
  type RecordedAnswer,
} from '@anvilrudder/core';
import {BackgroundRetries} from '../steps/background_retries.js';
import {runStoreProtocol} from '../steps/run_store_protocol.js';

/** Options of {@link createClaimManager}. */
export interface ClaimManagerOptions {
  readonly store: ObjectStore;
  /** This process; a restart gets another incarnation. */
  readonly member: MemberId;
  /** Monotonic time; `performance.now` by default. */
  readonly nowMs?: () => number;
  /** Uniform between 0 and 1; spreads retries. */
  readonly random?: () => number;
  /**
   * Returns true for a process that has ended. By default, no process counts as
   * ended.
   */
  readonly isMemberGone?: (member: MemberId) => boolean;
  /** How long a call waits for its claim before it is refused as `notRun`. */
  readonly acquireWaitMs?: number;
  /** How long an answer is delayed while its record is written. */
  readonly finishWaitMs?: number;
  /**
   * Delay before a retry, sent to a caller whose call was refused because the
   * object API is unavailable or no backend server ran it.
   */
  readonly retryAfterMs?: number;
  /**
   * Delay before a retry, sent to a caller whose key has a call in progress.
   */
  readonly inProgressRetryAfterMs?: number;
  /**
   * Maximum number of claims whose result is still to be recorded in the object
   * API. Further ones are dropped.
   */
  readonly maxUnfinished?: number;
}

/** One non-idempotent call with an idempotency key. */
export interface ClaimedCall {
  readonly idempotencyKey: string;
  readonly organisation: string;
  /** Digest of method, path and body. */
  readonly requestDigest: string;
  /** Time on the clock of `nowMs` after which the call is not sent. */
  readonly deadlineMs: number;
  /**
   * Sends the call. It must begin to send in the same turn of the event loop,
   * must not send a second time unless the first call is known not to have run,
   * and rejects or resolves to `unknown` when it is uncertain whether the call
   * ran.
   */
  readonly send: () => Promise<CallResult>;
}

/** The answer to a claimed call; every other outcome is a RouterError. */
export interface ClaimOutcome {
  readonly answer: RecordedAnswer;
  /** True when an earlier call with this key gave the answer. */
  readonly isReplay: boolean;
}

/** Counters of a claim manager. */
export interface ClaimStatus {
  /** Claims whose result is still to be recorded in the object API. */
  readonly unfinishedCount: number;
  /**
   * Claims whose result was dropped, because `maxUnfinished` was reached or the
   * retries had been stopped. Their keys answer `outcome_unknown` once this
   * process has ended.
   */
  readonly droppedCount: number;
}

/** Runs non-idempotent calls at most once for each idempotency key. */
export interface ClaimManager {
  /**
   * Claims the key, sends the call and records its outcome.
   *
   * @throws RouterError `key_reused`, `call_in_progress`, `outcome_unknown`,
   * `platform_unavailable`, `backend_refused` or `deadline_exceeded`; its
   * `execution` is `notRun` only if no byte was sent or the backend server
   * reported that nothing ran.
   */
  runOnce(call: ClaimedCall): Promise<ClaimOutcome>;
  status(): ClaimStatus;
  /** Stops the background retries. */
  stop(): void;
}

const DEFAULTS = {
  acquireWaitMs: 2000,
  finishWaitMs: 250,
  retryAfterMs: 1000,
  inProgressRetryAfterMs: 500,
  maxUnfinished: 1000,
} as const;

/**
 * Creates the claim manager of one entry.
 *
 * @example
 * ```ts
 * const claims = createClaimManager({store, member});
 * const {answer} = await claims.runOnce({
 *   idempotencyKey, organisation, requestDigest, deadlineMs, send,
 * });
 * ```
 */
export function createClaimManager(options: ClaimManagerOptions): ClaimManager {
  return StoreClaimManager.create(options);
}

type ResolvedOptions = Required<ClaimManagerOptions>;

class StoreClaimManager implements ClaimManager {
  private claimCount = 0;

  private constructor(
    private readonly options: ResolvedOptions,
    private readonly retries: BackgroundRetries,
  ) {}

  static create(options: ClaimManagerOptions): StoreClaimManager {
    const resolved: ResolvedOptions = {
      ...DEFAULTS,
      nowMs: () => performance.now(),
      random: Math.random,
      isMemberGone: () => false,
      ...options,
    };
    const {random, maxUnfinished: maxPending} = resolved;
    const retries = BackgroundRetries.create({random, maxPending});
    return new StoreClaimManager(resolved, retries);
  }

  async runOnce(call: ClaimedCall): Promise<ClaimOutcome> {
    const acquired = await this.acquireWithTimeout(call);
    if (acquired.status === 'recorded') {
      return {answer: acquired.answer, isReplay: true};
    }
    if (acquired.status !== 'acquired') throw this.createAcquireError(acquired);

    // Checked in the turn of the event loop in which the call is sent: if this
    // process was paused while it acquired the claim, it must not send the call
    // for a caller that has left.
    const isExpired = this.options.nowMs() >= call.deadlineMs;
    const result = isExpired ? NOT_RUN : await sendCall(call);
    await this.finish(acquired.held, result);
    if (result.status === 'answered') {
      return {answer: result.answer, isReplay: false};
    }
    throw isExpired ? createExpiredError() : this.createCallError(result);
  }

  status(): ClaimStatus {
    const {pendingCount, droppedCount} = this.retries;
    return {unfinishedCount: pendingCount, droppedCount};
  }

  stop(): void {
    this.retries.stop();
  }

  /**
   * Acquires a claim, or gives up when the object API is slow. A claim that is
   * acquired after that is released.
   */
  private async acquireWithTimeout(call: ClaimedCall): Promise<AcquireOutcome> {
    const {nowMs, acquireWaitMs} = this.options;
    const acquiring = this.acquire(call);
    const leftMs = Math.max(0, call.deadlineMs - nowMs());
    const isInTime = await isDoneWithin(
      acquiring,
      Math.min(acquireWaitMs, leftMs),
    );
    if (isInTime) return await acquiring;
    void acquiring.then(acquired => {
      if (acquired.status === 'acquired') {
        return this.finish(acquired.held, NOT_RUN);
      }
      return undefined;
    });
    return {status: 'unavailable', inDoubt: undefined};
  }

  private async acquire(call: ClaimedCall): Promise<AcquireOutcome> {
    const {store, member, isMemberGone} = this.options;
    this.claimCount += 1;
    const protocol = acquireClaim({
      objectKey: resolveClaimKey(call.organisation, call.idempotencyKey),
      claimId: `${member.incarnation}/${this.claimCount}`,
      holder: member,
      requestDigest: call.requestDigest,
      isMemberGone,
    });
    const acquired = await runStoreProtocol(store, protocol);
    if (acquired.status === 'unavailable' && acquired.inDoubt) {
      this.retryFinish(acquired.inDoubt, NOT_RUN);
    }
    return acquired;
  }

  /** Records the result of the call; waits for at most `finishWaitMs`. */
  private async finish(held: HeldClaim, result: CallResult): Promise<void> {
    const {store, finishWaitMs} = this.options;
    const finishing = runStoreProtocol(store, finishClaim(held, result)).then(
      outcome => {
        if (outcome === 'retry') this.retryFinish(held, result);
      },
    );
    await isDoneWithin(finishing, finishWaitMs);
  }

  private retryFinish(held: HeldClaim, result: CallResult): void {
    const {store} = this.options;
    this.retries.retry(async () => {
      const outcome = await runStoreProtocol(store, finishClaim(held, result));
      return outcome !== 'retry';
    });
  }

  private createAcquireError(
    acquired: Exclude<AcquireOutcome, {status: 'acquired' | 'recorded'}>,
  ): RouterError {
    switch (acquired.status) {
      case 'keyReused':
        return RouterError.create(
          'The idempotency key was used with another request body.',
          {code: 'key_reused'},
        );
      case 'inProgress':
        return RouterError.create(
          'A call with this idempotency key is in progress.',
          {
            code: 'call_in_progress',
            retryAfterMs: this.options.inProgressRetryAfterMs,
          },
        );
      case 'outcomeUnknown':
        return RouterError.create(UNKNOWN_MESSAGE, {code: 'outcome_unknown'});
      case 'unavailable':
        return RouterError.create(
          'The object API is unavailable; the call was not sent.',
          {
            code: 'platform_unavailable',
            retryAfterMs: this.options.retryAfterMs,
          },
        );
    }
  }

  private createCallError(
    result: Exclude<CallResult, {status: 'answered'}>,
  ): RouterError {
    if (result.status === 'unknown') {
      return RouterError.create(UNKNOWN_MESSAGE, {code: 'outcome_unknown'});
    }
    return RouterError.create('No backend server ran the call.', {
      code: 'backend_refused',
      retryAfterMs: this.options.retryAfterMs,
    });
  }
}

const NOT_RUN: CallResult = {status: 'notRun'};
const UNKNOWN_MESSAGE =
  'The call was sent and its outcome is unknown; it is not repeated.';

async function sendCall(call: ClaimedCall): Promise<CallResult> {
  try {
    return await call.send();
  } catch {
    return {status: 'unknown'};
  }
}

function createExpiredError(): RouterError {
  return RouterError.create('The deadline passed before the call was sent.', {
    code: 'deadline_exceeded',
    execution: 'notRun',
  });
}

/** Returns true if the work resolves within the timeout. */
async function isDoneWithin(
  work: Promise<unknown>,
  timeoutMs: number,
): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<boolean>(resolve => {
    timer = setTimeout(() => resolve(false), timeoutMs);
  });
  const isInTime = await Promise.race([work.then(() => true), timeout]);
  clearTimeout(timer);
  return isInTime;
}
