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
export interface ClaimKeeperOptions {
  readonly store: ObjectStore;
  /** The run of this entry; a restart has another incarnation. */
  readonly member: MemberId;
  /** Monotonic time; the clock of the runtime by default. */
  readonly nowMs?: () => number;
  /** Uniform between 0 and 1; spreads retries. */
  readonly random?: () => number;
  /** True when a process no longer runs; nobody is known gone by default. */
  readonly isMemberGone?: (member: MemberId) => boolean;
  /** How long a call waits for its claim before it is refused as not run. */
  readonly acquireWaitMs?: number;
  /** How long an answer waits for its record to be written. */
  readonly finishWaitMs?: number;
  /** When a caller refused for want of the object API may come back. */
  readonly retryAfterMs?: number;
  /** When a caller that met a call in progress may come back. */
  readonly inProgressRetryAfterMs?: number;
  /** Finished claims that may wait for the object API at a time. */
  readonly maxUnfinished?: number;
}

/** One non-idempotent call with an idempotency key. */
export interface ClaimedCall {
  readonly idempotencyKey: string;
  readonly organisation: string;
  /** Digest of method, path and body. */
  readonly requestDigest: string;
  /** On the clock of `nowMs`; the call is not sent after it. */
  readonly deadlineMs: number;
  /**
   * Sends the call. It must begin to send in the turn in which it is called,
   * must not send twice unless the first is known not to have run, and
   * rejects or resolves to `unknown` when it can't tell.
   */
  readonly send: () => Promise<CallResult>;
}

/** How a claimed call ended; everything else rejects with a RouterError. */
export interface ClaimOutcome {
  readonly answer: RecordedAnswer;
  /** True when an earlier call with this key gave the answer. */
  readonly isReplay: boolean;
}

/** Counters of a claim keeper. */
export interface ClaimStatus {
  /** Ended calls whose record is not written yet. */
  readonly unfinishedCount: number;
  /** Records given up; their key answers `outcome_unknown` from then on. */
  readonly droppedCount: number;
}

/** Runs non-idempotent calls at most once for each idempotency key. */
export interface ClaimManager {
  /**
   * Claims the key, sends the call and records its outcome.
   *
   * @throws RouterError `key_reused`, `call_in_progress`, `outcome_unknown`,
   * `platform_unavailable`, `backend_refused` or `deadline_exceeded`; its
   * `execution` is `notRun` only if no byte left or the backend server said so.
   */
  runOnce(call: ClaimedCall): Promise<ClaimOutcome>;
  status(): ClaimStatus;
  /** Stops the retries in the background. */
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
 * Creates the keeper of claims of one entry.
 *
 * @example
 * ```ts
 * const keeper = createClaimManager({store, member});
 * const {answer} = await keeper.runOnce({
 *   idempotencyKey, organisation, requestDigest, deadlineMs, send,
 * });
 * ```
 */
export function createClaimManager(options: ClaimKeeperOptions): ClaimManager {
  return StoreClaimKeeper.create(options);
}

type ResolvedOptions = Required<ClaimKeeperOptions>;

class StoreClaimKeeper implements ClaimManager {
  private claimCount = 0;

  private constructor(
    private readonly options: ResolvedOptions,
    private readonly retries: BackgroundRetries,
  ) {}

  static create(options: ClaimKeeperOptions): StoreClaimKeeper {
    const resolved: ResolvedOptions = {
      ...DEFAULTS,
      nowMs: () => performance.now(),
      random: Math.random,
      isMemberGone: () => false,
      ...options,
    };
    const {random, maxUnfinished: maxPending} = resolved;
    const retries = BackgroundRetries.create({random, maxPending});
    return new StoreClaimKeeper(resolved, retries);
  }

  async runOnce(call: ClaimedCall): Promise<ClaimOutcome> {
    const acquired = await this.acquireInTime(call);
    if (acquired.status === 'recorded') {
      return {answer: acquired.answer, isReplay: true};
    }
    if (acquired.status !== 'acquired') throw this.refuse(acquired);

    // Checked in the same turn as the first byte: a holder that was paused
    // while it claimed must not send for a caller that has left.
    const isExpired = this.options.nowMs() >= call.deadlineMs;
    const result = isExpired ? NOT_RUN : await sendCall(call);
    await this.finish(acquired.held, result);
    if (result.status === 'answered') {
      return {answer: result.answer, isReplay: false};
    }
    throw isExpired ? createExpiredError() : this.createFailure(result);
  }

  status(): ClaimStatus {
    const {pendingCount, droppedCount} = this.retries;
    return {unfinishedCount: pendingCount, droppedCount};
  }

  stop(): void {
    this.retries.stop();
  }

  /** Gives up on a slow object API; a claim that comes late is released. */
  private async acquireInTime(call: ClaimedCall): Promise<AcquireOutcome> {
    const {nowMs, acquireWaitMs} = this.options;
    const acquiring = this.acquire(call);
    const leftMs = Math.max(0, call.deadlineMs - nowMs());
    const isInTime = await waitAtMost(
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
      this.finishLater(acquired.inDoubt, NOT_RUN);
    }
    return acquired;
  }

  /** Records the outcome; a slow store delays the answer by a bound only. */
  private async finish(held: HeldClaim, result: CallResult): Promise<void> {
    const {store, finishWaitMs} = this.options;
    const finishing = runStoreProtocol(store, finishClaim(held, result)).then(
      outcome => {
        if (outcome === 'retry') this.finishLater(held, result);
      },
    );
    await waitAtMost(finishing, finishWaitMs);
  }

  private finishLater(held: HeldClaim, result: CallResult): void {
    const {store} = this.options;
    this.retries.retry(async () => {
      const outcome = await runStoreProtocol(store, finishClaim(held, result));
      return outcome !== 'retry';
    });
  }

  private refuse(
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

  private createFailure(
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

/** True if the work ended within the timeout. */
async function waitAtMost(
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
