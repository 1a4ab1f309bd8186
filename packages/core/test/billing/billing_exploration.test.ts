import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  writeBatch,
  readBatchRecords,
  type BillingBatch,
  type PackedBatch,
} from '../../src/billing/billing_batch.js';
import {compactBatches} from '../../src/billing/billing_compaction.js';
import type {BillingRecord} from '../../src/billing/billing_record.js';
import {EMPTY_TOTALS, parseTotals} from '../../src/billing/billing_totals.js';
import {
  holdRecords,
  listHeldBatches,
  NO_HELD_COPIES,
} from '../../src/billing/held_copies.js';
import {
  appendRecord,
  closeOpenBatch,
  createJournalState,
} from '../../src/billing/journal_state.js';
import type {StoreReply, StoreStep} from '../../src/steps/store_step.js';
import {
  applyStoreStep,
  EMPTY_STORE,
  exploreStates,
  walkStates,
  type Exploration,
  applyLateWrites,
  listStoreBranches,
  injectFaults,
  type ProtocolVariant,
  type Branch,
  type StoreModel,
} from '../support/protocol_explorer.js';

const INCARNATION = 'e1';

interface World {
  readonly store: StoreModel;
  /** Copies that each peer holds; undefined once the peer is lost. */
  readonly held: ReadonlyArray<readonly BillingBatch[] | undefined>;
  readonly answered: readonly string[];
}

type LocalStep =
  | {
      readonly kind: 'hold';
      readonly batch: BillingBatch;
      readonly peer: number;
    }
  | {readonly kind: 'answer'; readonly requestId: string}
  | {readonly kind: 'takeHeld'; readonly peer: number};

type Step = StoreStep | LocalStep;
type Reply =
  | StoreReply
  | {readonly kind: 'held'; readonly batches: readonly BillingBatch[]}
  | {readonly kind: 'ok' | 'lost'};
type Process = Generator<Step, unknown, Reply>;

/** A deliberately faulty protocol that the exploration must detect. */
interface Variant extends ProtocolVariant<Step, Reply> {
  readonly answersBeforeProtection?: boolean;
}

function createRecord(requestId: string): BillingRecord {
  return {
    requestId,
    organisation: requestId,
    period: 'p',
    kind: 'k',
    model: 'm',
    version: 'v',
    promptTokens: 1,
    outputTokens: 1,
    costMicros: 1,
  };
}

function unpackBatch(batch: BillingBatch | PackedBatch): BillingBatch {
  const {shard, incarnation, sequence} = batch;
  return {shard, incarnation, sequence, records: readBatchRecords(batch)};
}

/**
 * An entry that answers requests, collects their records in batches and then
 * writes the batches. Returns the batches that it could not write.
 */
function* runEntry(scenario: Scenario, variant: Variant): Process {
  const {batches, peerCount} = scenario;
  let peer = 0;
  let state = createJournalState(0, INCARNATION);
  const unprotected: string[] = [];
  for (const requestId of batches.flat()) {
    const isNewBatch = batches.some(batch => batch[0] === requestId);
    if (isNewBatch) state = closeOpenBatch(state);
    state = appendRecord(state, createRecord(requestId), 0);
    if (variant.answersBeforeProtection) yield {kind: 'answer', requestId};
    let reply: Reply = {kind: 'lost'};
    while (peer < peerCount && reply.kind !== 'ok') {
      reply = yield {kind: 'hold', batch: state.open, peer};
      if (reply.kind !== 'ok') peer += 1;
    }
    if (reply.kind !== 'ok') unprotected.push(requestId);
    else if (!variant.answersBeforeProtection)
      yield {kind: 'answer', requestId};
  }
  const pending = closeOpenBatch(state).closed.map(unpackBatch);
  for (const [i, batch] of pending.entries()) {
    const outcome = yield* asSteps(writeBatch(batch, 'origin'));
    if (outcome !== 'durable') return pending.slice(i);
    for (const {requestId} of batch.records) {
      if (unprotected.includes(requestId)) yield {kind: 'answer', requestId};
    }
  }
  return [];
}

/**
 * A peer that writes the copies it holds because it believes the entry lost,
 * correctly or not.
 */
function* runPeer(peer: number): Process {
  const reply = yield {kind: 'takeHeld', peer};
  if (reply.kind !== 'held') return undefined;
  for (const batch of reply.batches) {
    yield* asSteps(writeBatch(batch, 'handOff'));
  }
  return undefined;
}

function* compact(name: string, roundCount: number) {
  for (let round = 0; round < roundCount; round++) {
    yield* compactBatches({
      shard: 0,
      compactionId: `${name} ${round}`,
      previousId: undefined,
      elapsedMs: 0,
      retentionMs: Infinity,
      maxPages: 1,
    });
  }
}

function* asSteps<T>(
  protocol: Generator<StoreStep, T, StoreReply>,
): Generator<Step, T, Reply> {
  return yield* protocol as Generator<Step, T, Reply>;
}

function listBranches(
  world: World,
  step: Step,
): ReadonlyArray<Branch<World, Reply>> {
  switch (step.kind) {
    case 'answer': {
      const answered = [...world.answered, step.requestId];
      return [
        {
          label: `answer ${step.requestId}`,
          world: {...world, answered},
          reply: {kind: 'ok'},
          faultCount: 0,
        },
      ];
    }
    case 'hold':
      return listHoldBranches(world, step.batch, step.peer);
    case 'takeHeld':
      return [
        {
          label: 'hand-off begins',
          world,
          reply: {kind: 'held', batches: world.held[step.peer] ?? []},
          faultCount: 0,
        },
      ];
    default:
      return listStoreBranches(world.store, step).map(branch => ({
        ...branch,
        world: {...world, store: branch.world},
      }));
  }
}

function listHoldBranches(
  world: World,
  batch: BillingBatch,
  peer: number,
): ReadonlyArray<Branch<World, Reply>> {
  const heldByPeer = world.held[peer];
  const lost: Reply = {kind: 'lost'};
  const label = `hold batch ${batch.sequence} at peer ${peer}`;
  if (heldByPeer === undefined) {
    return [{label: `${label}: refused`, world, reply: lost, faultCount: 0}];
  }
  const copies = heldByPeer.reduce(
    (sum, heldBatch) =>
      holdRecords(sum, {batch: heldBatch, durableThrough: 0}, 99)!,
    NO_HELD_COPIES,
  );
  const nextCopies = holdRecords(copies, {batch, durableThrough: 0}, 99)!;
  const replaceHeld = (batches: readonly BillingBatch[] | undefined) => ({
    ...world,
    held: world.held.map((h, i) => (i === peer ? batches : h)),
  });
  const worldWithCopies = replaceHeld(
    listHeldBatches(nextCopies, INCARNATION).map(unpackBatch),
  );
  return [
    {label, world: worldWithCopies, reply: {kind: 'ok'}, faultCount: 0},
    {
      label: `${label}: answer lost`,
      world: worldWithCopies,
      reply: lost,
      faultCount: 1,
    },
    {label: `${label}: not sent`, world, reply: lost, faultCount: 1},
    {
      label: `${label}: peer lost`,
      world: replaceHeld(undefined),
      reply: lost,
      faultCount: 1,
    },
    {
      label: `${label}: entry crashed`,
      world: worldWithCopies,
      reply: undefined,
      faultCount: 1,
    },
  ];
}

function runWithoutFaults<T>(
  store: StoreModel,
  protocol: Generator<StoreStep, T, StoreReply>,
): StoreModel {
  let model = store;
  let state = protocol.next();
  while (!state.done) {
    const applied = applyStoreStep(model, state.value);
    model = applied.store;
    state = protocol.next(applied.reply);
  }
  return model;
}

/**
 * At the end, writes the batches that are still pending, runs compactions and
 * checks that each answer is billed exactly once. Answers may be missing from
 * the bill only if both the entry and a peer were lost.
 */
function checkExactlyOnce(
  world: World,
  results: readonly unknown[],
  isEnd: boolean,
): void {
  if (!isEnd) return;
  let {store} = world;
  const entryResult = results[0] as readonly BillingBatch[] | 'crashed';
  const isEntryLost = entryResult === 'crashed';
  const heldBatches = world.held.flatMap(batches => batches ?? []);
  const [pendingBatches, writer] = isEntryLost
    ? ([heldBatches, 'handOff'] as const)
    : ([entryResult, 'origin'] as const);
  for (const batch of pendingBatches) {
    store = runWithoutFaults(store, writeBatch(batch, writer));
  }
  store = runWithoutFaults(store, compact('end 1', 2));
  while (store.lateWrites.length > 0) store = applyLateWrites(store)[0];
  store = runWithoutFaults(store, compact('end 2', 2));
  const totals = store.objects.find(o => o.key === 'billing/totals/0');
  const {usage} = totals ? parseTotals(totals.value) : EMPTY_TOTALS;
  for (const [key, {requestCount}] of Object.entries(usage)) {
    assert.equal(requestCount, 1, `${key} is billed ${requestCount} times`);
  }
  const isTwoHostsLost = isEntryLost && world.held.includes(undefined);
  if (isTwoHostsLost) return;
  for (const requestId of world.answered) {
    assert.ok(usage[`p/${requestId}`], `${requestId} is not billed`);
  }
}

interface Scenario {
  readonly batches: ReadonlyArray<readonly string[]>;
  readonly peerCount: number;
  readonly compactorCount: number;
  readonly roundCount: number;
  readonly maxFaults: number;
}

function createExploration(
  scenario: Scenario,
  variant: Variant,
): Exploration<World, Step, Reply> {
  const {peerCount, compactorCount, roundCount, maxFaults} = scenario;
  const entry = {
    name: 'entry',
    start: () => injectFaults(runEntry(scenario, variant), variant, 'entry'),
  };
  const peers = Array.from({length: peerCount}, (_, i) => ({
    name: `peer ${i}`,
    start: () => injectFaults(runPeer(i), variant, 'peer'),
  }));
  const compactors = Array.from({length: compactorCount}, (_, i) => ({
    name: `compactor ${i}`,
    start: () =>
      injectFaults(
        asSteps(compact(`compactor ${i}`, roundCount)),
        variant,
        'compactor',
      ),
  }));
  return {
    world: {store: EMPTY_STORE, held: peers.map(() => []), answered: []},
    actors: [entry, ...peers, ...compactors],
    maxFaults,
    listBranches,
    listWorldChanges: world =>
      applyLateWrites(world.store).map(store => ({...world, store})),
    check: checkExactlyOnce,
  };
}

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  'an entry with two batches, one peer and one compaction': {
    batches: [['r1', 'r2'], ['r3']],
    peerCount: 1,
    compactorCount: 1,
    roundCount: 1,
    maxFaults: 1,
  },
  'an entry and two concurrent compactions': {
    batches: [['r1'], ['r2']],
    peerCount: 0,
    compactorCount: 2,
    roundCount: 1,
    maxFaults: 1,
  },
  'an entry with one batch, one peer and two compactions': {
    batches: [['r1', 'r2']],
    peerCount: 1,
    compactorCount: 1,
    roundCount: 2,
    maxFaults: 2,
  },
  'an entry with two batches, a peer that hands off early and three compactions':
    {
      batches: [['r1', 'r2'], ['r3']],
      peerCount: 1,
      compactorCount: 1,
      roundCount: 3,
      maxFaults: 0,
    },
};

const RANDOM_WALK_SCENARIO: Scenario = {
  batches: [['r1', 'r2'], ['r3', 'r4'], ['r5']],
  peerCount: 2,
  compactorCount: 2,
  roundCount: 4,
  maxFaults: 4,
};

const WALK_COUNT = 2000;
const WALK_SEED = 20261203;

for (const [name, scenario] of Object.entries(SCENARIOS)) {
  test(`${name} bill each answer once in every state`, t => {
    const count = exploreStates(createExploration(scenario, {}));
    t.diagnostic(`${count} states`);
    assert.ok(count > 1000, `${count} states`);
  });
}

test('three batches, two peers and two compactors bill each answer once in random walks', t => {
  t.diagnostic(`${WALK_COUNT} walks, seed ${WALK_SEED}`);
  const exploration = createExploration(RANDOM_WALK_SCENARIO, {});
  walkStates(exploration, WALK_COUNT, WALK_SEED);
});

const isBatchKey = (key: string) => key.startsWith('billing/batches/');

function sealEarly(value: string): string {
  const totals = parseTotals(value);
  const progress = Object.entries(totals.progress).map(([name, p]) => [
    name,
    {...p, sealedThrough: Math.max(...p.foldedLinks.map(Number.parseFloat), 0)},
  ]);
  return JSON.stringify({...totals, progress: Object.fromEntries(progress)});
}

const BROKEN_VARIANTS: Readonly<Record<string, Variant>> = {
  'an answer sent before its record is protected': {
    answersBeforeProtection: true,
  },
  'a conflict on a link treated as a successful write': {
    rewriteReply: (step, reply) =>
      step.kind === 'put' &&
      isBatchKey(step.key) &&
      reply.kind === 'write' &&
      reply.result.status === 'conflict'
        ? {kind: 'write', result: {status: 'written', version: 0}}
        : reply,
  },
  'a hand-off that writes links under another incarnation': {
    rewriteStep: (step, actor) =>
      actor === 'peer' && step.kind === 'put'
        ? {...step, key: step.key.replace('/e1/', '/peer/')}
        : step,
  },
  'an update of the totals without its condition': {
    rewriteStep: (step, actor) =>
      actor === 'compactor' && step.kind === 'put'
        ? {...step, condition: {kind: 'any'}}
        : step,
  },
  'a batch sealed before the entry knows it to be durable': {
    rewriteStep: (step, actor) =>
      actor === 'compactor' && step.kind === 'put'
        ? {...step, value: sealEarly(step.value)}
        : step,
  },
};

for (const [name, variant] of Object.entries(BROKEN_VARIANTS)) {
  test(`the exploration finds ${name}`, () => {
    assert.throws(() => {
      for (const scenario of Object.values(SCENARIOS)) {
        exploreStates(createExploration(scenario, variant));
      }
      const exploration = createExploration(RANDOM_WALK_SCENARIO, variant);
      walkStates(exploration, WALK_COUNT, WALK_SEED);
    }, /is billed|is not billed/);
  });
}
