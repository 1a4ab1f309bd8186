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

/** Who claims which object for which request body. */
export interface ClaimRequest {
  readonly objectKey: string;
  readonly claimId: string;
  readonly holder: MemberId;
  readonly requestDigest: string;
  /** True when a process no longer runs and so will never settle. */
  readonly isMemberGone: (member: MemberId) => boolean;
}

/** A claim that this process holds. */
export interface HeldClaim {
  readonly objectKey: string;
  readonly claim: Claim;
  /** Undefined when the write that made the claim is still in doubt. */
  readonly version: number | undefined;
}

/** Outcome of {@link acquireClaim}. */
export type AcquireOutcome =
  /** The call may be sent, by this holder alone. */
  | {readonly status: 'acquired'; readonly held: HeldClaim}
  | {readonly status: 'recorded'; readonly answer: RecordedAnswer}
  | {readonly status: 'keyReused'}
  | {readonly status: 'inProgress'}
  | {readonly status: 'outcomeUnknown'}
  /** Nothing may be sent. A claim in doubt must be released later. */
  | {readonly status: 'unavailable'; readonly inDoubt: HeldClaim | undefined};

/** What the holder knows of the call that its claim stands for. */
export type CallResult =
  | {readonly status: 'answered'; readonly answer: RecordedAnswer}
  /** No byte left, or the backend server said that nothing ran. */
  | {readonly status: 'notRun'}
  | {readonly status: 'unknown'};

/** Outcome of {@link finishClaim}; `retry` when the store must be asked again. */
export type FinishOutcome = 'done' | 'lost' | 'retry';

/** Released claims that are taken over before the caller is sent away. */
const TAKEOVER_ATTEMPTS = 3;

/**
 * Claims an idempotency key before the call is sent. Only an absent or a
 * released claim is taken: a claim that may have been sent stays with its
 * holder for good, also when that holder is gone.
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
  for (let attempt = 0; attempt < TAKEOVER_ATTEMPTS; attempt++) {
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
    const answer = resolveExistingClaim(write.current, request);
    if (answer !== undefined) return answer;
    condition = {kind: 'version', version: write.current.version};
  }
  return {status: 'inProgress'};
}

/** What a caller is told of a claim that stands; undefined if it is free. */
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
  const isOpen = claim.state === 'held' && !request.isMemberGone(claim.holder);
  return {status: isOpen ? 'inProgress' : 'outcomeUnknown'};
}

/**
 * Records how a held claim ended. A call that did not run releases the claim
 * by an overwrite, not a deletion: an earlier write that is still under way
 * could otherwise bring the claim back.
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
  for (let attempt = 0; attempt < TAKEOVER_ATTEMPTS; attempt++) {
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
