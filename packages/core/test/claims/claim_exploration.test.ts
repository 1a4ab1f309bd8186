import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  acquireClaim,
  finishClaim,
  type AcquireOutcome,
  type CallResult,
} from '../../src/claims/claim_protocol.js';
import type {StoreReply, StoreStep} from '../../src/steps/store_step.js';
import {
  EMPTY_STORE,
  exploreStates,
  applyLateWrites,
  listStoreBranches,
  injectFaults,
  type ProtocolVariant,
  type Branch,
  type StoreModel,
} from '../support/protocol_explorer.js';

interface World {
  readonly store: StoreModel;
  readonly executedBy: readonly string[];
}

interface CallStep {
  readonly kind: 'call';
  readonly claimId: string;
}

type Step = StoreStep | CallStep;
type Reply = StoreReply | CallResult;

interface Told {
  readonly claimId: string;
  readonly told: AcquireOutcome | CallResult;
}

/** A deliberate fault of the protocol that the exploration must find. */
interface Variant extends ProtocolVariant<Step, Reply> {
  readonly takesOverGone?: boolean;
  readonly saysNotRunWhenUnknown?: boolean;
}

const ANSWER = {httpStatus: 200, contentType: 'text/plain', body: 'booked'};

function* runClaimed(
  claimId: string,
  variant: Variant,
): Generator<Step, Told, Reply> {
  const acquired = yield* asSteps(
    acquireClaim({
      objectKey: 'claims/a/1',
      claimId,
      holder: {host: claimId, incarnation: claimId},
      requestDigest: 'd',
      isMemberGone: () => false,
    }),
  );
  const takesOver = variant.takesOverGone && acquired.status === 'inProgress';
  if (acquired.status === 'unavailable' && acquired.inDoubt) {
    yield* asSteps(finishClaim(acquired.inDoubt, {status: 'notRun'}));
  }
  if (acquired.status !== 'acquired' && !takesOver) {
    return {claimId, told: acquired};
  }
  const result = (yield {kind: 'call', claimId}) as CallResult;
  if (acquired.status === 'acquired') {
    const finished =
      variant.saysNotRunWhenUnknown && result.status === 'unknown'
        ? ({status: 'notRun'} as const)
        : result;
    yield* asSteps(finishClaim(acquired.held, finished));
  }
  return {claimId, told: result};
}

function* asSteps<T>(
  protocol: Generator<StoreStep, T, StoreReply>,
): Generator<Step, T, Reply> {
  return yield* protocol as Generator<Step, T, Reply>;
}

function listCallBranches(
  world: World,
  step: CallStep,
): ReadonlyArray<Branch<World, Reply>> {
  const ran = {...world, executedBy: [...world.executedBy, step.claimId]};
  const unknown: Reply = {status: 'unknown'};
  return [
    {
      label: 'call answered',
      world: ran,
      reply: {status: 'answered', answer: ANSWER},
      faultCount: 0,
    },
    {
      label: 'call refused',
      world,
      reply: {status: 'notRun'},
      faultCount: 1,
    },
    {label: 'call cut before', world, reply: unknown, faultCount: 1},
    {label: 'call cut after', world: ran, reply: unknown, faultCount: 1},
    {label: 'crash before call', world, reply: undefined, faultCount: 1},
    {label: 'crash after call', world: ran, reply: undefined, faultCount: 1},
  ];
}

function listBranches(
  world: World,
  step: Step,
): ReadonlyArray<Branch<World, Reply>> {
  if (step.kind === 'call') return listCallBranches(world, step);
  return listStoreBranches(world.store, step).map(branch => ({
    ...branch,
    world: {...world, store: branch.world},
  }));
}

function checkAtMostOnce(world: World, results: readonly unknown[]): void {
  assert.ok(world.executedBy.length <= 1, 'the call ran twice');
  for (const result of results as ReadonlyArray<Told | 'crashed' | undefined>) {
    if (result === undefined || result === 'crashed') continue;
    const {claimId, told} = result;
    const isToldNotRun =
      told.status === 'notRun' || told.status === 'unavailable';
    if (isToldNotRun) {
      assert.ok(!world.executedBy.includes(claimId), 'not run was said');
    }
    if (told.status === 'recorded' || told.status === 'answered') {
      assert.equal(world.executedBy.length, 1, 'an answer without a call');
    }
  }
}

function explore(variant: Variant, names: readonly string[], maxFaults = 2) {
  return exploreStates<World, Step, Reply>({
    world: {store: EMPTY_STORE, executedBy: []},
    actors: names.map(name => ({
      name,
      start: () => injectFaults(runClaimed(name, variant), variant),
    })),
    maxFaults,
    listBranches,
    listWorldChanges: world =>
      applyLateWrites(world.store).map(store => ({...world, store})),
    check: checkAtMostOnce,
  });
}

test('two callers with one key run the call at most once in every state', () => {
  const count = explore({}, ['a', 'b'], 3);
  assert.ok(count > 1000, `${count} states`);
});

test('three callers with one key run the call at most once in every state', () => {
  const count = explore({}, ['a', 'b', 'c'], 2);
  assert.ok(count > 1000, `${count} states`);
});

const BROKEN_VARIANTS: Readonly<Record<string, Variant>> = {
  'a claim write without its condition': {
    rewriteStep: step =>
      step.kind === 'put' && step.condition.kind === 'absent'
        ? {...step, condition: {kind: 'any'}}
        : step,
  },
  'a finish without its condition': {
    rewriteStep: step =>
      step.kind === 'put' && !step.value.includes('"held"')
        ? {...step, condition: {kind: 'any'}}
        : step,
  },
  'a lost answer taken for a written claim': {
    rewriteReply: (step, reply) =>
      step.kind === 'put' && 'kind' in reply && reply.kind === 'failed'
        ? {kind: 'write', result: {status: 'written', version: 1}}
        : reply,
  },
  'a takeover of a claim that may have been sent': {takesOverGone: true},
  'a release after a call with an unknown outcome': {
    saysNotRunWhenUnknown: true,
  },
};

for (const [name, variant] of Object.entries(BROKEN_VARIANTS)) {
  test(`the exploration finds ${name}`, () => {
    assert.throws(
      () => explore(variant, ['a', 'b', 'c']),
      /ran twice|not run was said|without a call/,
    );
  });
}
