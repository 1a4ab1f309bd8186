import {createRandom, formatHead} from '@anvilrudder/core';
import {
  fitColumns,
  type CapacityCommand,
  type CapacityOptions,
  type CapacityReport,
  type Row,
} from './capacity_report.js';
import {
  RulesManagerCluster,
  createFakeMembers,
} from './rules_manager_cluster.js';
import {createRuleText} from './rule_text.js';
import {readCpuUs, sleepMs, toCorePercent, waitUntil} from './usage_meter.js';

const MEMBER_COUNTS: readonly number[] = [2, 4, 8, 16, 32, 48];
/** With fewer members, an exchange has fewer peers than its fanout of 3. */
const MIN_FITTED_MEMBERS = 4;
const LINE_COUNTS: readonly number[] = [100, 400, 1600];
const MEMBER_COUNT_FOR_LINE_RUNS = 8;
const DEFAULT_LINE_COUNT = 200;
const IDLE_MS = 8000;
const SMALL_IDLE_MS = 300;
const CHANGE_COUNT = 5;
/** CPU milliseconds per second that equal 1% of one core. */
const CPU_MS_PER_PERCENT = 10;
const TARGET_MEMBERS = 360;
const TARGET_LINES = 4000;
const IDLE_COLUMNS: readonly string[] = [
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
  const cluster = RulesManagerCluster.create(createRandom(seed));
  await cluster.start(members, createRuleText(lines, 0));
  const idle = await measureIdle(cluster, isSmall ? SMALL_IDLE_MS : IDLE_MS);
  const change = await measureChanges(
    cluster,
    lines,
    isSmall ? 1 : CHANGE_COUNT,
    idle,
  );
  const joinMs = await measureJoin(cluster);
  await cluster.stop();
  const headBytes = measureHeadBytes(members);
  return {members, lines, ...idle, headBytes, ...change, joinMs};
}

async function measureIdle(cluster: RulesManagerCluster, durationMs: number) {
  const before = cluster.readTotals();
  const cpuBefore = process.cpuUsage();
  await sleepMs(durationMs);
  const after = cluster.readTotals();
  const cpuUs = readCpuUs(cpuBefore);
  const seconds = durationMs / 1000;
  const perMember = (total: number) => total / seconds / cluster.members.length;
  return {
    bytesPerS: perMember(after.bytes - before.bytes),
    messagesPerS: perMember(after.messages - before.messages),
    cpuPercent: toCorePercent(cpuUs, durationMs) / cluster.members.length,
    objectCallsPerS: (after.objectCalls - before.objectCalls) / seconds,
    objectReadBytesPerS:
      (after.objectReadBytes - before.objectReadBytes) / seconds,
  };
}

function measureHeadBytes(members: number): number {
  return formatHead({
    sequence: 1,
    rules: {revision: 1, digest: 'x'.repeat(64)},
    members: createFakeMembers(members),
    pending: undefined,
    recent: [],
  }).length;
}

// Measures the cost of rule changes beyond what the members use while idle: the
// idle usage for the elapsed time is subtracted.
async function measureChanges(
  cluster: RulesManagerCluster,
  lines: number,
  changeCount: number,
  idle: Awaited<ReturnType<typeof measureIdle>>,
) {
  const {members} = cluster;
  const before = cluster.readTotals();
  const cpuBefore = process.cpuUsage();
  const startedAtMs = performance.now();
  for (let change = 1; change <= changeCount; change++) {
    const {rulesManager} = members[change % members.length];
    const outcome = await rulesManager.apply({
      changeId: `change-${change}`,
      who: 'Kim',
      why: 'a measurement',
      content: createRuleText(lines, change),
      baseRevision: change,
      withoutHosts: [],
    });
    if (outcome.state !== 'accepted') throw new Error(outcome.reason);
    await waitUntil(() =>
      members.every(m => m.rulesManager.inForce()?.revision === change + 1),
    );
  }
  const after = cluster.readTotals();
  const elapsedMs = performance.now() - startedAtMs;
  const perMember = (total: number, idlePerS: number) =>
    (total / members.length - (idlePerS * elapsedMs) / 1000) / changeCount;
  const cpuMs = readCpuUs(cpuBefore) / 1000;
  const objectCalls =
    after.objectCalls -
    before.objectCalls -
    (idle.objectCallsPerS * elapsedMs) / 1000;
  return {
    bytesPerChange: perMember(after.bytes - before.bytes, idle.bytesPerS),
    messagesPerChange: perMember(
      after.messages - before.messages,
      idle.messagesPerS,
    ),
    cpuMsPerChange: perMember(cpuMs, idle.cpuPercent * CPU_MS_PER_PERCENT),
    objectCallsPerChange: objectCalls / changeCount,
    changeMs: elapsedMs / changeCount,
  };
}

async function measureJoin(cluster: RulesManagerCluster): Promise<number> {
  const startedAtMs = performance.now();
  await cluster.join();
  const {length} = cluster.members;
  await waitUntil(() =>
    cluster.members.every(({rulesManager}) => {
      const status = rulesManager.status();
      return (
        status.members.length === length &&
        status.pendingChangeId === undefined &&
        rulesManager.inForce() !== undefined
      );
    }),
  );
  return performance.now() - startedAtMs;
}

async function run(options: CapacityOptions): Promise<CapacityReport> {
  const byMembers: Row[] = [];
  const byLines: Row[] = [];
  // The first runs include JIT compilation, so their results are discarded.
  if (!options.isSmall) {
    const warmUp = {
      members: MEMBER_COUNT_FOR_LINE_RUNS,
      lines: DEFAULT_LINE_COUNT,
    };
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
      await measureSize({members: MEMBER_COUNT_FOR_LINE_RUNS, lines}, options),
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
        [...IDLE_COLUMNS, ...CHANGE_COLUMNS, 'joinMs'],
        TARGET_MEMBERS,
      ),
      ...fitColumns(byLines, 'lines', CHANGE_COLUMNS, TARGET_LINES),
    ],
  };
}

/** Measures the cost of rules control: idle, per change and per new member. */
export const CAPACITY_RULES: CapacityCommand = {
  name: 'capacity-rules',
  description:
    'cost of rules control for each member, idle and for each change',
  run,
};
