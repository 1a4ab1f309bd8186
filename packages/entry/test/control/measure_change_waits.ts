// Measures how long a change of the rules takes with the default time limits.
//
// Usage: node packages/entry/dist/test/control/measure_change_waits.js
import {
  RulesManagerCluster,
  applyText,
  waitUntil,
} from './rules_manager_cluster.js';

interface WaitCase {
  readonly name: string;
  readonly disconnectedHosts: readonly string[];
  readonly withoutHosts: readonly string[];
}

const CASES: readonly WaitCase[] = [
  {name: 'all four members answer', disconnectedHosts: [], withoutHosts: []},
  {name: 'one of four is silent', disconnectedHosts: ['h4'], withoutHosts: []},
  {
    name: 'two of four are silent',
    disconnectedHosts: ['h3', 'h4'],
    withoutHosts: [],
  },
  {
    name: 'two of four are silent and left out',
    disconnectedHosts: ['h3', 'h4'],
    withoutHosts: ['h3', 'h4'],
  },
];
/** Hosts may be left out once they are silent for longer than freshnessMs. */
const SILENCE_MS = 7_000;

for (const {name, disconnectedHosts: cutHosts, withoutHosts} of CASES) {
  const cluster = RulesManagerCluster.create();
  const entries = await cluster.startMembers(4, {
    acceptance: {},
    exchangePeriodMs: 1_000,
    confirmPeriodMs: 1_000,
    peerTimeoutMs: 1_000,
    applyTimeoutMs: 30_000,
  });
  for (const {member, setConnected} of entries) {
    if (cutHosts.includes(member.host)) setConnected(false);
  }
  await waitUntil(() =>
    entries[0].rulesManager
      .status()
      .members.filter(m => withoutHosts.includes(m.host))
      .every(m => (m.heardAgeMs ?? Infinity) > SILENCE_MS),
  );
  const startedAtMs = performance.now();
  const outcome = await applyText(entries[0], 'second', {withoutHosts});
  const waitedMs = Math.round(performance.now() - startedAtMs);
  console.log(`${name}: ${outcome.state} after ${waitedMs} ms`);
  await cluster.stop();
}
