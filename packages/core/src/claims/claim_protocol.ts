import {
  writeObject,
  type WriteOutcome,
  type StoreProtocol,
} from '../steps/store_step.js';
import type {MemberId} from '../types/identity.js';
import type {StoredObject, WriteCondition} from '../types/object_store.js';
import {
  limitRecordedAnswer,
  parseClaim,
  type Claim,
  type RecordedAnswer,
} from './claim.js';

/** The input of {@link acquireClaim}. */
export interface ClaimRequest {
  readonly objectKey: string;
  readonly claimId: string;
  readonly holder: MemberId;
  readonly requestDigest: string;
  /** Returns true for a process that has ended, so cannot finish its claims. */
  readonly isMemberGone: (member: MemberId) => boolean;
}

/** A claim that this process holds. */
export interface HeldClaim {
  readonly objectKey: string;
  readonly claim: Claim;
  /** Undefined while the outcome of the write of the claim is unknown. */
  readonly version: number | undefined;
}

/** Outcome of {@link acquireClaim}. */
export type AcquireOutcome =
  /** This holder, and no other, may send the call. */
  | {readonly status: 'acquired'; readonly held: HeldClaim}
  /** The call was answered before. */
  | {readonly status: 'recorded'; readonly answer: RecordedAnswer}
  /** The key was used before with another request body. */
  | {readonly status: 'keyReused'}
  | {readonly status: 'inProgress'}
  | {readonly status: 'outcomeUnknown'}
  /**
   * The call must not be sent. A claim whose write has an unknown outcome must
   * be released later.
   */
  | {readonly status: 'unavailable'; readonly inDoubt: HeldClaim | undefined};

/** The result of the call that a claim was acquired for. */
export type CallResult =
  | {readonly status: 'answered'; readonly answer: RecordedAnswer}
  /** No byte was sent, or the backend server reported that nothing ran. */
  | {readonly status: 'notRun'}
  | {readonly status: 'unknown'};

/**
 * Outcome of {@link finishClaim}. `lost`: the stored object is no longer this
 * claim. `retry`: the result could not be recorded and has to be tried again.
 */
export type FinishOutcome = 'done' | 'lost' | 'retry';

/**
 * Attempts to write a claim that other processes change concurrently. After the
 * last one the outcome is `inProgress` or `retry`.
 */
const MAX_CLAIM_WRITES = 3;

/**
 * Claims an idempotency key before the call is sent. Only an absent or a
 * released claim is taken over. A claim whose call may have been sent stays
 * with its holder permanently, even after that process has ended.
 */
export function* acquireClaim(
  request: ClaimRequest,
): StoreProtocol<AcquireOutcome> {
  const claim: Claim = {
    claimId: request.claimId,
    holder: request.holder,
    requestDigest: request.requestDigest,
    state: 'held',
  };
  const {objectKey} = request;
  const value = JSON.stringify(claim);
  let condition: WriteCondition = {kind: 'absent'};
  for (let attempt = 0; attempt < MAX_CLAIM_WRITES; attempt++) {
    const write: WriteOutcome = yield* writeObject({
      key: objectKey,
      value,
      condition,
    });
    if (write.status === 'written') {
      const held = {objectKey, claim, version: write.version};
      return {status: 'acquired', held};
    }
    if (write.status === 'failed') {
      const isInDoubt = write.execution === 'unknown';
      const inDoubt = {objectKey, claim, version: undefined};
      return {status: 'unavailable', inDoubt: isInDoubt ? inDoubt : undefined};
    }
    if (write.current === undefined) {
      condition = {kind: 'absent'};
      continue;
    }
    const outcome = resolveExistingClaim(write.current, request);
    if (outcome !== undefined) return outcome;
    condition = {kind: 'version', version: write.current.version};
  }
  return {status: 'inProgress'};
}

/** Outcome for a caller that finds a claim; undefined if it is released. */
function resolveExistingClaim(
  current: StoredObject,
  request: ClaimRequest,
): AcquireOutcome | undefined {
  const claim = parseClaim(current.value);
  if (claim === undefined) return {status: 'outcomeUnknown'};
  if (claim.state === 'released') return undefined;
  if (claim.requestDigest !== request.requestDigest) {
    return {status: 'keyReused'};
  }
  if (claim.state === 'answered' && claim.answer !== undefined) {
    return {status: 'recorded', answer: claim.answer};
  }
  const isInProgress =
    claim.state === 'held' && !request.isMemberGone(claim.holder);
  return {status: isInProgress ? 'inProgress' : 'outcomeUnknown'};
}

/**
 * Records the result of the call in a held claim. If the call did not run, the
 * claim is released by an overwrite and not by a deletion: otherwise an earlier
 * write that is still in flight could create the claim again.
 */
export function* finishClaim(
  held: HeldClaim,
  result: CallResult,
): StoreProtocol<FinishOutcome> {
  const value = JSON.stringify(createFinishedClaim(held.claim, result));
  const key = held.objectKey;
  const heldValue = JSON.stringify(held.claim);
  let condition: WriteCondition =
    held.version === undefined
      ? {kind: 'absent'}
      : {kind: 'version', version: held.version};
  for (let attempt = 0; attempt < MAX_CLAIM_WRITES; attempt++) {
    const write: WriteOutcome = yield* writeObject({key, value, condition});
    if (write.status === 'written') return 'done';
    if (write.status === 'failed') return 'retry';
    const current: StoredObject | undefined = write.current;
    if (current === undefined || current.value !== heldValue) return 'lost';
    condition = {kind: 'version', version: current.version};
  }
  return 'retry';
}

function createFinishedClaim(claim: Claim, result: CallResult): Claim {
  switch (result.status) {
    case 'answered':
      return {
        ...claim,
        state: 'answered',
        answer: limitRecordedAnswer(result.answer),
      };
    case 'notRun':
      return {...claim, state: 'released'};
    case 'unknown':
      return {...claim, state: 'unknown'};
  }
}
