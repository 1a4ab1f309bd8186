import {createRandom, formatHead} from '@anvilrudder/core';
import {
  fitColumns,
  type CapacityCommand,
  type CapacityOptions,
  type CapacityReport,
  type Row,
} from './capacity_report.js';
import {KeeperGroup, createAbsentMembers} from './keeper_group.js';
import {createRuleText} from './rule_text.js';
import {pauseMs, readCpuUs, toCorePercent, waitUntil} from './usage_meter.js';

const MEMBER_COUNTS: readonly number[] = [2, 4, 8, 16, 32, 48];
/** Fewer members have fewer peers than an exchange asks in a period. */
const MIN_FITTED_MEMBERS = 4;
const LINE_COUNTS: readonly number[] = [100, 400, 1600];
const LINE_MEMBER_COUNT = 8;
const DEFAULT_LINE_COUNT = 200;
const REST_MS = 8000;
const SMALL_REST_MS = 300;
const CHANGE_COUNT = 5;
/** Milliseconds of a second of one core. */
const CPU_MS_PER_PERCENT = 10;
const TARGET_MEMBERS = 360;
const TARGET_LINES = 4000;
const REST_COLUMNS: readonly string[] = [
  'bytesPerS',
  'messagesPerS',
  'cpuPercent',
  'objectCallsPerS',
  'objectReadBytesPerS',
  'headBytes',
];
const CHANGE_COLUMNS: readonly string[] = [
  'bytesPerChange',
  'messagesPerChange',
  'cpuMsPerChange',
  'objectCallsPerChange',
  'changeMs',
];

interface Size {
  readonly members: number;
  readonly lines: number;
}

async function measureSize(
  {members, lines}: Size,
  {seed, isSmall}: CapacityOptions,
): Promise<Row> {
  const group = KeeperGroup.create(createRandom(seed));
  await group.start(members, createRuleText(lines, 0));
  const rest = await measureRest(group, isSmall ? SMALL_REST_MS : REST_MS);
  const change = await measureChanges(
    group,
    lines,
    isSmall ? 1 : CHANGE_COUNT,
    rest,
  );
  const joinMs = await measureJoin(group);
  await group.stop();
  const headBytes = measureHeadBytes(members);
  return {members, lines, ...rest, headBytes, ...change, joinMs};
}

async function measureRest(group: KeeperGroup, durationMs: number) {
  const before = group.readTotals();
  const cpuBefore = process.cpuUsage();
  await pauseMs(durationMs);
  const after = group.readTotals();
  const cpuUs = readCpuUs(cpuBefore);
  const seconds = durationMs / 1000;
  const perMember = (spent: number) => spent / seconds / group.members.length;
  return {
    bytesPerS: perMember(after.bytes - before.bytes),
    messagesPerS: perMember(after.messages - before.messages),
    cpuPercent: toCorePercent(cpuUs, durationMs) / group.members.length,
    objectCallsPerS: (after.objectCalls - before.objectCalls) / seconds,
    objectReadBytesPerS:
      (after.objectReadBytes - before.objectReadBytes) / seconds,
  };
}

function measureHeadBytes(members: number): number {
  return formatHead({
    sequence: 1,
    rules: {revision: 1, digest: 'x'.repeat(64)},
    members: createAbsentMembers(members),
    pending: undefined,
    recent: [],
  }).length;
}

// What the members would have spent at rest meanwhile is taken off.
async function measureChanges(
  group: KeeperGroup,
  lines: number,
  changeCount: number,
  rest: Awaited<ReturnType<typeof measureRest>>,
) {
  const {members} = group;
  const before = group.readTotals();
  const cpuBefore = process.cpuUsage();
  const startedAtMs = performance.now();
  for (let change = 1; change <= changeCount; change++) {
    const {keeper} = members[change % members.length];
    const outcome = await keeper.apply({
      changeId: `change-${change}`,
      who: 'Kim',
      why: 'a measurement',
      content: createRuleText(lines, change),
      baseRevision: change,
      withoutHosts: [],
    });
    if (outcome.state !== 'accepted') throw new Error(outcome.reason);
    await waitUntil(() =>
      members.every(m => m.keeper.inForce()?.revision === change + 1),
    );
  }
  const after = group.readTotals();
  const elapsedMs = performance.now() - startedAtMs;
  const perMember = (spent: number, restPerS: number) =>
    (spent / members.length - (restPerS * elapsedMs) / 1000) / changeCount;
  const cpuMs = readCpuUs(cpuBefore) / 1000;
  const objectCalls =
    after.objectCalls -
    before.objectCalls -
    (rest.objectCallsPerS * elapsedMs) / 1000;
  return {
    bytesPerChange: perMember(after.bytes - before.bytes, rest.bytesPerS),
    messagesPerChange: perMember(
      after.messages - before.messages,
      rest.messagesPerS,
    ),
    cpuMsPerChange: perMember(cpuMs, rest.cpuPercent * CPU_MS_PER_PERCENT),
    objectCallsPerChange: objectCalls / changeCount,
    changeMs: elapsedMs / changeCount,
  };
}

async function measureJoin(group: KeeperGroup): Promise<number> {
  const startedAtMs = performance.now();
  await group.join();
  const {length} = group.members;
  await waitUntil(() =>
    group.members.every(({keeper}) => {
      const status = keeper.status();
      return (
        status.members.length === length &&
        status.pendingChangeId === undefined &&
        keeper.inForce() !== undefined
      );
    }),
  );
  return performance.now() - startedAtMs;
}

async function run(options: CapacityOptions): Promise<CapacityReport> {
  const byMembers: Row[] = [];
  const byLines: Row[] = [];
  // The first run pays for compilation and is not kept.
  if (!options.isSmall) {
    const warmUp = {members: LINE_MEMBER_COUNT, lines: DEFAULT_LINE_COUNT};
    await measureSize(warmUp, options);
    await measureSize(warmUp, options);
  }
  const memberCounts = options.isSmall ? [2] : MEMBER_COUNTS;
  for (const members of memberCounts) {
    const size = {members, lines: DEFAULT_LINE_COUNT};
    byMembers.push(await measureSize(size, options));
  }
  for (const lines of options.isSmall ? [] : LINE_COUNTS) {
    byLines.push(
      await measureSize({members: LINE_MEMBER_COUNT, lines}, options),
    );
  }
  return {
    name: CAPACITY_RULES.name,
    seed: options.seed,
    rows: [...byMembers, ...byLines],
    fits: [
      ...fitColumns(
        byMembers.filter(row => Number(row.members) >= MIN_FITTED_MEMBERS),
        'members',
        [...REST_COLUMNS, ...CHANGE_COLUMNS, 'joinMs'],
        TARGET_MEMBERS,
      ),
      ...fitColumns(byLines, 'lines', CHANGE_COLUMNS, TARGET_LINES),
    ],
  };
}

/** Cost of accepting rules: at rest, for a change and for a new member. */
export const CAPACITY_RULES: CapacityCommand = {
  name: 'capacity-rules',
  description: 'cost of rules control a member, at rest and a change',
  run,
};
