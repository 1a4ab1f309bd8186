import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import fc from 'fast-check';
import {formatMemberKey, type EntryState} from '../../src/index.js';
import {
  ProtocolModel,
  type ActionKind,
  type ModelCounts,
  type ScheduledAction,
  type Variant,
} from './protocol_model.js';

const ACTION_WEIGHTS: Readonly<Record<ActionKind, number>> = {
  tick: 9,
  exchange: 14,
  gather: 2,
  ask: 3,
  confirm: 3,
  readStore: 1,
  load: 7,
  propose: 3,
  proposeMembers: 2,
  decide: 7,
  decideSlowly: 1,
  deliver: 3,
  drop: 1,
  restart: 1,
  kill: 1,
  proposeWithout: 1,
};
const SCHEDULE_LENGTH = 90;
const RUN_COUNT = Number(process.env['EXPLORATION_RUNS'] ?? 1_500);
const VARIANT_RUN_COUNT = 10_000;
const SEED = Number(process.env['EXPLORATION_SEED'] ?? 20261203);

interface Deployment {
  readonly memberCount: number;
  readonly guestCount: number;
}

const DEPLOYMENTS: readonly Deployment[] = [
  {memberCount: 3, guestCount: 0},
  {memberCount: 3, guestCount: 1},
  {memberCount: 4, guestCount: 0},
  {memberCount: 4, guestCount: 1},
];

const anyAction = fc
  .tuple(
    fc.oneof(
      ...Object.entries(ACTION_WEIGHTS).map(([kind, weight]) => ({
        weight,
        arbitrary: fc.constant(kind as ActionKind),
      })),
    ),
    fc.nat({max: 11}),
    fc.nat({max: 11}),
  )
  .map(([kind, a, b]): ScheduledAction => ({kind, a, b}));

const anySchedule = fc.array(anyAction, {
  minLength: SCHEDULE_LENGTH,
  maxLength: SCHEDULE_LENGTH,
});

function explore(
  deployment: Deployment,
  variant: Variant,
  numRuns: number,
  onEnd: (counts: ModelCounts) => void,
): fc.RunDetails<[ScheduledAction[]]> {
  const property = fc.property(anySchedule, schedule => {
    const {memberCount, guestCount} = deployment;
    const model = ProtocolModel.create(memberCount, guestCount, variant);
    const violation = model.run(schedule);
    onEnd(model.counts);
    assert.equal(violation, undefined);
  });
  return fc.check(property, {seed: SEED, numRuns, endOnFailure: true});
}

function printRun(context: TestContext, text: string): void {
  context.diagnostic(`seed ${SEED}: ${text}`);
}

for (const deployment of DEPLOYMENTS) {
  const {memberCount, guestCount} = deployment;
  test(`no order of events of ${memberCount} members and ${guestCount} guests lets an entry serve replaced rules`, context => {
    const sum: ModelCounts = {
      accepted: 0,
      refused: 0,
      memberChanges: 0,
      servedByPeers: 0,
      guestServed: 0,
    };
    const details = explore(deployment, {}, RUN_COUNT, counts => {
      for (const key of Object.keys(sum) as Array<keyof ModelCounts>) {
        sum[key] += counts[key];
      }
    });
    printRun(context, `${details.numRuns} schedules, ${JSON.stringify(sum)}`);
    assert.equal(details.failed, false, fc.defaultReportMessage(details));
    assert.ok(sum.accepted > 0 && sum.refused > 0 && sum.servedByPeers > 0);
  });
}

interface BrokenVariant {
  readonly name: string;
  readonly deployment: Deployment;
  readonly variant: Variant;
}

const BROKEN_VARIANTS: readonly BrokenVariant[] = [
  {
    name: 'a commit that does not wait for silent members',
    deployment: {memberCount: 3, guestCount: 0},
    variant: {
      beforeDecision: state =>
        withOptions(state, {freshnessMs: 0, marginMs: 0}),
    },
  },
  {
    name: 'a wait that counts from the proposal alone',
    deployment: {memberCount: 3, guestCount: 0},
    variant: {
      beforeDecision: state => ({
        ...state,
        ackedAtMs: new Map([...state.ackedAtMs.keys()].map(key => [key, 0])),
      }),
    },
  },
  {
    name: 'an island of fewer than half',
    deployment: {memberCount: 4, guestCount: 0},
    variant: {beforeServing: hearOneMore},
  },
  {
    name: 'an acknowledgement before the content is loaded',
    deployment: {memberCount: 3, guestCount: 0},
    variant: {
      changeReport: (_, report) => ({
        ...report,
        activeSequence: report.knownSequence,
      }),
    },
  },
  {
    name: 'acknowledgements that leave out grants to guests',
    deployment: {memberCount: 3, guestCount: 1},
    variant: {
      changeReport: (_, report) => ({...report, ackGrants: []}),
      beforeDecision: state => ({...state, ackGrantUntilMs: new Map()}),
    },
  },
  {
    name: 'ages counted from the receipt of an answer',
    deployment: {memberCount: 3, guestCount: 0},
    variant: {answerSentAtMs: (_, nowMs) => nowMs},
  },
  {
    name: 'confirmations from an older copy of the store',
    deployment: {memberCount: 3, guestCount: 0},
    variant: {hasStaleConfirmations: true},
  },
];

for (const {name, deployment, variant} of BROKEN_VARIANTS) {
  test(`the exploration catches ${name}`, context => {
    const details = explore(deployment, variant, VARIANT_RUN_COUNT, () => {});
    printRun(context, `caught after ${details.numRuns} schedules`);
    assert.equal(details.failed, true, 'no schedule broke this variant');
  });
}

// Entries 2 and 3 hear only each other, half of the four members they know,
// while three of the five members that entry 4 knows accept a change.
const JOIN_SCHEDULE: readonly ScheduledAction[] = [
  {kind: 'proposeMembers', a: 4, b: 0},
  {kind: 'load', a: 4, b: 0},
  {kind: 'exchange', a: 4, b: 0},
  {kind: 'exchange', a: 4, b: 1},
  {kind: 'propose', a: 4, b: 0},
  {kind: 'exchange', a: 4, b: 0},
  {kind: 'exchange', a: 4, b: 1},
  {kind: 'load', a: 0, b: 0},
  {kind: 'load', a: 1, b: 0},
  {kind: 'exchange', a: 4, b: 0},
  {kind: 'exchange', a: 4, b: 1},
  ...Array.from({length: 5}, () => ({kind: 'tick', a: 0, b: 0}) as const),
  {kind: 'exchange', a: 2, b: 0},
  {kind: 'decide', a: 4, b: 0},
];

test('a schedule in which a one-step join lets an island serve replaced rules', () => {
  const broken = ProtocolModel.create(4, 1, {isJoinOneStep: true});
  assert.match(broken.run(JOIN_SCHEDULE) ?? '', /serves r1 by peers/);
  const whole = ProtocolModel.create(4, 1);
  assert.equal(whole.run(JOIN_SCHEDULE), undefined);
});

// Entry 2 receives an answer of entry 1 only after a change that both others
// acknowledged was committed.
const LATE_ANSWER_SCHEDULE: readonly ScheduledAction[] = [
  {kind: 'ask', a: 2, b: 1},
  {kind: 'deliver', a: 0, b: 0},
  {kind: 'propose', a: 0, b: 0},
  {kind: 'exchange', a: 0, b: 0},
  {kind: 'load', a: 1, b: 0},
  {kind: 'exchange', a: 0, b: 0},
  ...Array.from({length: 5}, () => ({kind: 'tick', a: 0, b: 0}) as const),
  {kind: 'decide', a: 0, b: 0},
  {kind: 'deliver', a: 0, b: 0},
];

test('a schedule in which an answer under way for long looks fresh', () => {
  const broken = ProtocolModel.create(3, 0, {
    answerSentAtMs: (_, nowMs) => nowMs,
  });
  assert.match(broken.run(LATE_ANSWER_SCHEDULE) ?? '', /entry 2 serves r1/);
  const whole = ProtocolModel.create(3, 0);
  assert.equal(whole.run(LATE_ANSWER_SCHEDULE), undefined);
  assert.equal(whole.counts.accepted, 1);
});

function withOptions(
  state: EntryState,
  options: Partial<EntryState['options']>,
): EntryState {
  return {...state, options: {...state.options, ...options}};
}

function hearOneMore(state: EntryState, nowMs: number): EntryState {
  const silent = (state.activeHead?.members ?? [])
    .map(formatMemberKey)
    .filter(key => key !== formatMemberKey(state.self))
    .find(key => nowMs - (state.heardAtMs.get(key) ?? 0) >= 4);
  if (silent === undefined) return state;
  return {...state, heardAtMs: new Map(state.heardAtMs).set(silent, nowMs)};
}
