import {
  BackendBalancer,
  EvidenceTable,
  createRandom,
  formatHead,
  parseRules,
} from '@anvilrudder/core';
import {CountingMemoryStore} from './counting_memory_store.js';
import {createFakeMembers} from './rules_manager_cluster.js';
import {createRuleText} from './rule_text.js';
import {readHeapBytes, sleepMs} from './usage_meter.js';

/** Memory use of a process. */
export interface ProcessMemory {
  readonly residentBytes: number;
  readonly heapBytes: number;
}

const SETTLE_MS = 500;
const TARGET_MEMBERS = 360;
const TARGET_VERSIONS = 28;
const TARGET_SERVERS = 2600;
const TARGET_LINES = 4000;
const CURRENT_LINES = 200;
const PENDING_RECORDS = 200_000;

function loadEntry() {
  return import('@anvilrudder/entry/control');
}

async function startRulesManager(memberCount: number, lineCount: number) {
  const entry = await loadEntry();
  const store = CountingMemoryStore.create();
  const text = createRuleText(lineCount, 0);
  const members = createFakeMembers(memberCount);
  const digest = entry.digestText(text);
  const heads = entry.HeadStore.create(store, 1000);
  await entry.writeContent(heads, digest, text);
  const head = formatHead({
    sequence: 1,
    rules: {revision: 1, digest},
    members,
    pending: undefined,
    recent: [],
  });
  await store.put(entry.HEAD_KEY, head, {kind: 'absent'});
  return entry.createRulesManager({
    self: members[0],
    store,
    parse: parseRules,
    // The other members are not running, so no peer is asked.
    fanout: 0,
  });
}

function fillEvidence(): EvidenceTable {
  const evidence = EvidenceTable.create({host: 'self', incarnation: '1'});
  for (const {host, incarnation} of createFakeMembers(TARGET_MEMBERS)) {
    const peer = EvidenceTable.create({host, incarnation});
    for (let i = 0; i < TARGET_VERSIONS; i++) {
      const version = {model: `model-${i >> 1}`, version: `v${i & 1}`};
      peer.record(version, {requests: 1, score: 0.7});
    }
    evidence.merge(peer.createDelta(0));
  }
  return evidence;
}

function fillBalancer(): BackendBalancer {
  const random = createRandom(1);
  const balancer = BackendBalancer.create({failureDomain: 'domain-0', random});
  const servers = Array.from({length: TARGET_SERVERS}, (_, index) => ({
    id: `server-${index}`,
    failureDomain: `domain-${index % 4}`,
    slots: 8,
    loaded: [index, index + 3].map(i => ({
      model: `model-${(i % TARGET_VERSIONS) >> 1}`,
      version: `v${i & 1}`,
    })),
  }));
  balancer.updateServers(servers);
  for (let i = 0; i < TARGET_VERSIONS; i++) {
    const version = {model: `model-${i >> 1}`, version: `v${i & 1}`};
    balancer.pick({...version, prefixKey: 'prefix'}, i);
  }
  return balancer;
}

async function fillJournal() {
  const {createBillingJournal} = await loadEntry();
  const journal = createBillingJournal({
    store: CountingMemoryStore.create(),
    incarnation: 'entry-1-1',
    choosePeer: () => ({host: 'entry-2', hold: async () => {}}),
    maxBatchAgeMs: 3_600_000,
    maxBatchRecords: PENDING_RECORDS + 1,
    maxPendingRecords: PENDING_RECORDS,
  });
  for (let i = 0; i < PENDING_RECORDS; i++) {
    await journal.commit({
      requestId: `01JDXZ4Q7M-${String(i).padStart(10, '0')}`,
      organisation: `school-${i % 10}`,
      period: '2026-12',
      kind: 'icebreaker',
      model: 'quick',
      version: 'v3',
      promptTokens: 300,
      outputTokens: 400,
      costMicros: 120,
    });
  }
  return journal;
}

/**
 * Functions that create the components, by component name. The result stays
 * referenced while memory is measured.
 */
const COMPONENTS: Readonly<Record<string, () => Promise<unknown>>> = {
  libraries: loadEntry,
  'rules of today': () => startRulesManager(4, CURRENT_LINES),
  'rules at the target': () => startRulesManager(TARGET_MEMBERS, TARGET_LINES),
  'evidence at the target': async () => [await loadEntry(), fillEvidence()],
  'balancer at the target': async () => [await loadEntry(), fillBalancer()],
  'journal of 200,000 records': async () => [
    await loadEntry(),
    await fillJournal(),
  ],
};

/** Names of the components, in the order in which they are measured. */
export const COMPONENT_NAMES: readonly string[] = Object.keys(COMPONENTS);

/** Creates a component in this process and reads the memory of the process. */
export async function measureComponent(name: string): Promise<ProcessMemory> {
  const component = await COMPONENTS[name]();
  await sleepMs(SETTLE_MS);
  const heapBytes = readHeapBytes();
  const residentBytes = process.memoryUsage().rss;
  // This use keeps the component from being collected before the measurement.
  if (component === null) throw new Error('The component is null.');
  return {residentBytes, heapBytes};
}
