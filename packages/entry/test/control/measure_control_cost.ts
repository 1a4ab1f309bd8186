// Measures the costs that accepting rules causes for a member, while the
// cluster is idle and for each change.
//
// Usage:
//   node packages/entry/dist/test/control/measure_control_cost.js \
//     [SECONDS [MEMBERS...]]
import {pathToFileURL} from 'node:url';
import type {AcceptanceManager} from '../../src/control/acceptance/index.js';
import {
  RulesManagerCluster,
  applyText,
  waitUntil,
  type ClusterEntry,
} from './rules_manager_cluster.js';

const MS_PER_S = 1_000;
const US_PER_S = 1_000_000;
const SETTLE_MS = 8_000;
const CHANGE_COUNT = 5;
const RULE_LINE_COUNT = 200;
const DEFAULT_SECONDS = 10;
const DEFAULT_SIZES: readonly number[] = [2, 4, 8, 16];

/**
 * Average costs of a member. Fields that begin with `rest` are for an idle
 * cluster.
 */
export interface ControlCost {
  readonly members: number;
  readonly restBytesPerS: number;
  readonly restCallsPerS: number;
  readonly restStoreWritesPerS: number;
  readonly restWatchesPerS: number;
  readonly restCpuPercent: number;
  readonly bytesPerChange: number;
  readonly callsPerChange: number;
  readonly storeWritesPerChange: number;
  readonly changeMs: number;
}

interface Totals {
  readonly bytes: number;
  readonly calls: number;
  readonly writes: number;
  readonly watches: number;
}

/**
 * Measures a cluster of rules managers in this process that communicate over loopback.
 * The idle costs are measured for `durationMs` milliseconds.
 */
export async function measureControlCost(
  members: number,
  durationMs: number,
): Promise<ControlCost> {
  const cluster = RulesManagerCluster.create();
  const entries = await startOneByOne(cluster, members);
  const rulesManagers = entries.map(entry => entry.rulesManager);
  const idleCost = await measureIdleCost(rulesManagers, durationMs);
  const before = sumTotals(rulesManagers);
  const startedAtMs = performance.now();
  let changeMs = 0;
  for (let change = 1; change <= CHANGE_COUNT; change++) {
    const changeStartMs = performance.now();
    const entry = entries[change % members];
    const outcome = await applyText(entry, createRules(change), {
      changeId: `change-${change}`,
      why: 'a measurement',
    });
    if (outcome.state !== 'accepted') throw new Error(outcome.reason);
    await waitUntil(() =>
      rulesManagers.every(k => k.inForce()?.revision === change + 1),
    );
    changeMs += (performance.now() - changeStartMs) / CHANGE_COUNT;
  }
  const elapsedS = (performance.now() - startedAtMs) / MS_PER_S;
  const after = sumTotals(rulesManagers);
  await cluster.stop();
  // Subtracts the costs that idle members would have caused in the same time.
  const perChange = (spent: number, restPerS: number): number =>
    (spent - restPerS * elapsedS * members) / CHANGE_COUNT;
  return {
    members,
    ...idleCost,
    bytesPerChange: perChange(
      after.bytes - before.bytes,
      idleCost.restBytesPerS,
    ),
    callsPerChange: perChange(
      after.calls - before.calls,
      idleCost.restCallsPerS,
    ),
    storeWritesPerChange: perChange(
      after.writes - before.writes,
      idleCost.restStoreWritesPerS,
    ),
    changeMs,
  };
}

// Entries that start at the same time would be guests of each other and would
// have to wait for each other's grants.
async function startOneByOne(
  cluster: RulesManagerCluster,
  members: number,
): Promise<readonly ClusterEntry[]> {
  for (let index = 1; index <= members; index++) {
    const {rulesManager} = await cluster.start(`h${index}`, {
      acceptance: {lostAfterMs: 60_000},
      exchangePeriodMs: 1_000,
      confirmPeriodMs: 1_000,
      peerTimeoutMs: 1_000,
      loadWaitMs: 500,
      initialRules: createRules(0),
    });
    await waitUntil(() => rulesManager.status().servesBy === 'store');
  }
  return cluster.entries;
}

async function measureIdleCost(
  rulesManagers: readonly AcceptanceManager[],
  durationMs: number,
) {
  // Waits until the grants to the entries that joined last have expired, since
  // reports contain them until then.
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  const before = sumTotals(rulesManagers);
  const cpuBefore = process.cpuUsage();
  await new Promise(resolve => setTimeout(resolve, durationMs));
  const after = sumTotals(rulesManagers);
  const cpu = process.cpuUsage(cpuBefore);
  const rate = (from: number, to: number): number =>
    (to - from) / (durationMs / MS_PER_S) / rulesManagers.length;
  const cpuS = (cpu.user + cpu.system) / US_PER_S;
  return {
    restBytesPerS: rate(before.bytes, after.bytes),
    restCallsPerS: rate(before.calls, after.calls),
    restStoreWritesPerS: rate(before.writes, after.writes),
    restWatchesPerS: rate(before.watches, after.watches),
    restCpuPercent: rate(0, cpuS) * 100,
  };
}

function sumTotals(rulesManagers: readonly AcceptanceManager[]): Totals {
  const counters = rulesManagers.map(rulesManager => rulesManager.counters());
  const sum = (read: (c: (typeof counters)[number]) => number): number =>
    counters.reduce((total, c) => total + read(c), 0);
  return {
    bytes: sum(
      ({peerClient, peerServer}) =>
        peerClient.bytesSent +
        peerClient.bytesReceived +
        peerServer.bytesSent +
        peerServer.bytesReceived,
    ),
    calls: sum(c => c.peerClient.calls),
    writes: sum(c => c.store.writes),
    watches: sum(c => c.store.watches),
  };
}

function createRules(change: number): string {
  return Array.from({length: RULE_LINE_COUNT}, (_, line) =>
    line === change
      ? `withdraw model=m version=v${change} # operator: measurement`
      : `allow organisation=school-${line} model=m # operator: agreement`,
  ).join('\n');
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  const [seconds = String(DEFAULT_SECONDS), ...sizes] = process.argv.slice(2);
  const counts = sizes.length === 0 ? DEFAULT_SIZES : sizes.map(Number);
  const rows: ControlCost[] = [];
  for (const count of counts) {
    const row = await measureControlCost(count, Number(seconds) * MS_PER_S);
    console.log(JSON.stringify(roundValues(row)));
    rows.push(row);
  }
  console.table(rows.map(row => roundValues(row)));
}

function roundValues(row: ControlCost) {
  return Object.fromEntries(
    Object.entries(row).map(([key, value]) => [
      key,
      Math.round(Number(value) * 100) / 100,
    ]),
  );
}
