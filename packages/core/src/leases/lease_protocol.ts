import {
  readObject,
  writeObject,
  type WriteOutcome,
  type ReadOutcome,
  type StoreProtocol,
  type StoreReply,
  type StoreStep,
} from '../steps/store_step.js';
import type {MemberId} from '../types/identity.js';
import type {StoredObject, WriteCondition} from '../types/object_store.js';
import {
  parseLease,
  type HeldLease,
  type Lease,
  type LeaseSettings,
  type LeaseState,
} from './lease.js';

/** A call to the object API, or the question what time it is. */
export type LeaseStep = StoreStep | {readonly kind: 'now'};

/** What came of a {@link LeaseStep}. */
export type LeaseReply =
  StoreReply | {readonly kind: 'time'; readonly nowMs: number};

/** A protocol that reads the monotonic clock of its process. */
export type LeaseProtocol<T> = Generator<LeaseStep, T, LeaseReply>;

/** One attempt to get or keep a lease. */
export interface LeaseAttempt extends LeaseSettings {
  readonly key: string;
  readonly member: MemberId;
  /** Unique to this attempt. */
  readonly stamp: string;
}

/**
 * Renews a lease that is held, or takes one that is free. A lease is free if
 * its object is absent or released, if this process is its holder, or if this
 * process has seen the same version for a whole lease: the holder's lease
 * began before that version could be seen, so it has ended.
 */
export function* renewOrAcquireLease(
  attempt: LeaseAttempt,
  state: LeaseState,
): LeaseProtocol<LeaseState> {
  const startedAtMs = yield* readClock();
  const {held} = state;
  if (held !== undefined && startedAtMs < held.validUntilMs) {
    return yield* renewLease(attempt, state, held, startedAtMs);
  }
  return yield* tryForLease(attempt, {...state, held: undefined});
}

function* renewLease(
  attempt: LeaseAttempt,
  state: LeaseState,
  held: HeldLease,
  startedAtMs: number,
): LeaseProtocol<LeaseState> {
  const lease: Lease = {...held.lease, stamp: attempt.stamp};
  let {version} = held;
  for (;;) {
    const condition: WriteCondition = {kind: 'version', version};
    const write = yield* writeLease(attempt.key, lease, condition);
    if (write.status === 'written') {
      return createHeldState(attempt, lease, write.version, startedAtMs);
    }
    // The lease may still run: only its end on this clock is certain.
    if (write.status === 'failed') return state;
    const {current} = write;
    if (!isEarlierRenewal(current, held.lease)) {
      const nowMs = yield* readClock();
      return observeLease({held: undefined, seen: undefined}, current, nowMs);
    }
    version = current.version;
  }
}

/** True for a renewal of this holder that took effect with its answer lost. */
function isEarlierRenewal(
  current: StoredObject | undefined,
  own: Lease,
): current is StoredObject {
  if (current === undefined) return false;
  const {holder, fencing} = parseLease(current.value);
  return (
    fencing === own.fencing && holder?.incarnation === own.holder?.incarnation
  );
}

function* tryForLease(
  attempt: LeaseAttempt,
  state: LeaseState,
): LeaseProtocol<LeaseState> {
  const read: ReadOutcome = yield* askStore(readObject(attempt.key));
  if (read.status === 'failed') return state;
  // One reading serves as the time of the answer and of the write's start.
  const startedAtMs = yield* readClock();
  const observed = observeLease(state, read.object, startedAtMs);
  if (!isLeaseFree(attempt, observed, read.object, startedAtMs)) {
    return observed;
  }
  const {object} = read;
  const fencing = object === undefined ? 0 : parseLease(object.value).fencing;
  const lease: Lease = {
    holder: attempt.member,
    fencing: fencing + 1,
    stamp: attempt.stamp,
  };
  const condition: WriteCondition =
    object === undefined
      ? {kind: 'absent'}
      : {kind: 'version', version: object.version};
  const write = yield* writeLease(attempt.key, lease, condition);
  if (write.status === 'written') {
    return createHeldState(attempt, lease, write.version, startedAtMs);
  }
  if (write.status === 'failed') return observed;
  return observeLease(observed, write.current, yield* readClock());
}

function isLeaseFree(
  attempt: LeaseAttempt,
  state: LeaseState,
  object: StoredObject | undefined,
  nowMs: number,
): boolean {
  if (object === undefined) return true;
  const {holder} = parseLease(object.value);
  if (holder === undefined) return true;
  if (holder.incarnation === attempt.member.incarnation) return true;
  const seenAtMs = state.seen?.seenAtMs ?? nowMs;
  return nowMs - seenAtMs >= attempt.leaseMs;
}

/** Notes when a version was first seen: after its answer, never before. */
function observeLease(
  state: LeaseState,
  object: StoredObject | undefined,
  nowMs: number,
): LeaseState {
  if (object === undefined) return {...state, seen: undefined};
  if (state.seen?.version === object.version) return state;
  return {...state, seen: {version: object.version, seenAtMs: nowMs}};
}

/** The lease lasts from before the write, so it ends before others think. */
function createHeldState(
  settings: LeaseSettings,
  lease: Lease,
  version: number,
  startedAtMs: number,
): LeaseState {
  const validUntilMs = startedAtMs + settings.leaseMs - settings.marginMs;
  return {held: {lease, version, validUntilMs}, seen: undefined};
}

/** Gives a lease up, so that a successor need not wait for its end. */
export function* releaseLease(
  key: string,
  held: HeldLease,
  stamp: string,
): StoreProtocol<boolean> {
  const lease: Lease = {holder: undefined, fencing: held.lease.fencing, stamp};
  const condition: WriteCondition = {kind: 'version', version: held.version};
  const value = JSON.stringify(lease);
  const write = yield* writeObject({key, value, condition});
  return write.status === 'written';
}

function* writeLease(
  key: string,
  lease: Lease,
  condition: WriteCondition,
): LeaseProtocol<WriteOutcome> {
  const value = JSON.stringify(lease);
  return yield* askStore(writeObject({key, value, condition}));
}

function* readClock(): LeaseProtocol<number> {
  const reply = yield {kind: 'now'};
  return reply.kind === 'time' ? reply.nowMs : 0;
}

/** The driver answers each step in kind, so store steps get store replies. */
function* askStore<T>(protocol: StoreProtocol<T>): LeaseProtocol<T> {
  return yield* protocol as LeaseProtocol<T>;
}
