import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  INITIAL_LEASE_STATE,
  type LeaseSettings,
} from '../../src/leases/lease.js';
import {
  renewOrAcquireLease,
  type LeaseReply,
  type LeaseStep,
} from '../../src/leases/lease_protocol.js';
import {
  EMPTY_STORE,
  exploreStates,
  applyLateWrites,
  listStoreBranches,
  injectFaults,
  type ProtocolVariant,
  walkStates,
  type Branch,
  type Exploration,
  type StoreModel,
} from '../support/protocol_explorer.js';

/** A span in which a process believes that it holds the lease. */
interface Belief {
  readonly holder: string;
  readonly fencing: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

interface World {
  readonly store: StoreModel;
  readonly nowMs: number;
  readonly beliefs: readonly Belief[];
  /** Orders that an engine with fencing accepted, in order. */
  readonly accepted: ReadonlyArray<{holder: string; fencing: number}>;
  readonly engineFencing: number;
}

type Step =
  | LeaseStep
  | {
      readonly kind: 'believe';
      readonly fencing: number;
      readonly untilMs: number;
      readonly holder: string;
    }
  | {readonly kind: 'order'; readonly fencing: number; readonly holder: string};

type Reply = LeaseReply | {readonly kind: 'ok' | 'expired'};

interface Variant extends ProtocolVariant<Step, Reply> {
  readonly settings?: Partial<LeaseSettings>;
}

const SETTINGS: LeaseSettings = {leaseMs: 2, marginMs: 0};
const END_MS = 3;

/** Tries for the lease some rounds long and sends an order in each. */
function* runHolder(
  holder: string,
  roundCount: number,
  settings: LeaseSettings,
): Generator<Step, unknown, Reply> {
  let state = INITIAL_LEASE_STATE;
  for (let round = 0; round < roundCount; round++) {
    const attempt = {
      ...settings,
      key: 'leases/duty',
      member: {host: holder, incarnation: holder},
      stamp: `${holder} ${round}`,
    };
    state = yield* renewOrAcquireLease(attempt, state) as Generator<
      Step,
      typeof state,
      Reply
    >;
    if (state.held === undefined) continue;
    const {fencing} = state.held.lease;
    const untilMs = state.held.validUntilMs;
    const reply = yield {kind: 'believe', holder, fencing, untilMs};
    // A pause here is what fencing numbers are for.
    if (reply.kind === 'ok') yield {kind: 'order', holder, fencing};
  }
  return undefined;
}

function listBranches(
  world: World,
  step: Step,
): ReadonlyArray<Branch<World, Reply>> {
  const ok: Reply = {kind: 'ok'};
  switch (step.kind) {
    case 'now': {
      const reply: Reply = {kind: 'time', nowMs: world.nowMs};
      return [{label: `now ${world.nowMs}`, world, reply, faultCount: 0}];
    }
    case 'believe': {
      const {holder, fencing, untilMs} = step;
      if (world.nowMs >= untilMs) {
        const reply: Reply = {kind: 'expired'};
        return [{label: 'lease ended', world, reply, faultCount: 0}];
      }
      const belief = {holder, fencing, untilMs, fromMs: world.nowMs};
      const beliefs = [...world.beliefs, belief];
      const label = `believes until ${untilMs}`;
      return [{label, world: {...world, beliefs}, reply: ok, faultCount: 0}];
    }
    case 'order': {
      const {holder, fencing} = step;
      const isAccepted = fencing >= world.engineFencing;
      const accepted = [...world.accepted, {holder, fencing}];
      const after = {...world, accepted, engineFencing: fencing};
      const label = `order ${fencing} ${isAccepted ? 'accepted' : 'refused'}`;
      const next = isAccepted ? after : world;
      return [{label, world: next, reply: ok, faultCount: 0}];
    }
    default:
      return listStoreBranches(world.store, step).map(branch => ({
        ...branch,
        world: {...world, store: branch.world},
      }));
  }
}

function listWorldChanges(world: World): readonly World[] {
  const late = applyLateWrites(world.store).map(store => ({...world, store}));
  const isEnd = world.nowMs >= END_MS;
  return isEnd ? late : [...late, {...world, nowMs: world.nowMs + 1}];
}

function checkLease(world: World): void {
  for (const a of world.beliefs) {
    for (const b of world.beliefs) {
      if (a.holder === b.holder) continue;
      assert.notEqual(a.fencing, b.fencing, 'a fencing number granted twice');
      const isOverlap =
        Math.max(a.fromMs, b.fromMs) < Math.min(a.untilMs, b.untilMs);
      assert.ok(!isOverlap, 'two holders at once');
    }
  }
  world.accepted.forEach((order, i) => {
    const earlier = world.accepted.slice(0, i).map(o => o.fencing);
    assert.ok(Math.max(0, ...earlier) <= order.fencing, 'an old order');
  });
}

function createExploration(
  rounds: readonly number[],
  maxFaults: number,
  variant: Variant = {},
): Exploration<World, Step, Reply> {
  const settings = {...SETTINGS, ...variant.settings};
  return {
    world: {
      store: EMPTY_STORE,
      nowMs: 0,
      beliefs: [],
      accepted: [],
      engineFencing: 0,
    },
    actors: rounds.map((roundCount, i) => ({
      name: `h${i}`,
      start: () =>
        injectFaults(runHolder(`h${i}`, roundCount, settings), variant),
    })),
    maxFaults,
    listBranches,
    listWorldChanges,
    check: checkLease,
  };
}

const WALK_COUNT = 4000;
const WALK_SEED = 20261203;

test('two processes never hold a lease at once in any state', t => {
  const count = exploreStates(createExploration([1, 2], 0));
  t.diagnostic(`${count} states`);
  assert.ok(count > 1000, `${count} states`);
});

test('three processes never hold a lease at once on random ways', t => {
  t.diagnostic(`${WALK_COUNT} walks, seed ${WALK_SEED}`);
  walkStates(createExploration([4, 4, 4], 4), WALK_COUNT, WALK_SEED);
});

const BROKEN_VARIANTS: Readonly<Record<string, Variant>> = {
  'a grant without its condition': {
    rewriteStep: step =>
      step.kind === 'put' ? {...step, condition: {kind: 'any'}} : step,
  },
  'a holder that stops after its lease ends': {settings: {marginMs: -2}},
  'a lost answer taken for a grant': {
    rewriteReply: (step, reply) =>
      step.kind === 'put' && reply.kind === 'failed'
        ? {kind: 'write', result: {status: 'written', version: 1}}
        : reply,
  },
  'a fencing number that does not grow': {
    rewriteStep: step => ('fencing' in step ? {...step, fencing: 1} : step),
  },
};

for (const [name, variant] of Object.entries(BROKEN_VARIANTS)) {
  test(`the exploration finds ${name}`, () => {
    assert.throws(() => {
      exploreStates(createExploration([1, 2], 0, variant));
      walkStates(
        createExploration([4, 4, 4], 4, variant),
        WALK_COUNT,
        WALK_SEED,
      );
    }, /two holders at once|granted twice|old order/);
  });
}
