import {
  encodeBatchLink,
  MAX_BATCH_RECORDS,
  type BillingRecord,
  type CallResult,
} from '@anvilrudder/core';
import {createBillingCompactor} from '../../src/control/billing/billing_compactor.js';
import {createBillingJournal} from '../../src/control/billing/billing_journal.js';
import {createHeldCopyBuffer} from '../../src/control/billing/held_copy_buffer.js';
import {createClaimManager} from '../../src/control/claims/claim_manager.js';
import {MemoryObjectStore} from './memory_object_store.js';

// Usage: node --expose-gc packages/entry/dist/test/support/measure_ledger.js
// Prints the calls to the object API and the added latency of each variant of
// recording claims and bills, and the memory, stored bytes and processor time
// per record.

const STORE_DELAY_MS = 4;
const PEER_DELAY_MS = 1;
const SERVICE_DELAY_MS = 50;
const ANSWER_DURATION_MS = 300;
const CONFIRMATION_COUNT = 100;
const REQUESTS_PER_S = 11;
const RUN_MS = 20_000;
const MEMORY_RECORD_COUNT = 100_000;
const CPU_RECORD_COUNT = 20_000;
const RECORDS_PER_BATCH = 42;
const COMPACTED_BATCH_COUNT = 500;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

function createRecord(index: number): BillingRecord {
  return {
    requestId: `01JDXZ4Q7M-${String(index).padStart(10, '0')}`,
    organisation: `organisation-${index % 10}`,
    period: '2026-12',
    kind: 'icebreaker',
    model: 'quick',
    version: 'v3',
    promptTokens: 300 + (index % 50),
    outputTokens: 400 + (index % 50),
    costMicros: 120,
  };
}

function createStore(): MemoryObjectStore {
  const store = MemoryObjectStore.create();
  store.delayMs = STORE_DELAY_MS;
  return store;
}

function print(name: string, fields: Readonly<Record<string, number>>): void {
  const text = Object.entries(fields).map(([k, v]) => `${k}=${v.toFixed(3)}`);
  console.log(`${name.padEnd(44)} ${text.join(' ')}`);
}

async function callService(): Promise<CallResult> {
  await sleep(SERVICE_DELAY_MS);
  const answer = {httpStatus: 200, contentType: 'text/plain', body: 'booked'};
  return {status: 'answered', answer};
}

interface ClaimVariant {
  readonly name: string;
  readonly isClaimed: boolean;
  readonly writesSendMarker: boolean;
  readonly finishWaitMs: number;
}

const CLAIM_VARIANTS: readonly ClaimVariant[] = [
  {
    name: 'no claim',
    isClaimed: false,
    writesSendMarker: false,
    finishWaitMs: 0,
  },
  {
    name: 'claim, outcome not waited for',
    isClaimed: true,
    writesSendMarker: false,
    finishWaitMs: 0,
  },
  {
    name: 'claim and outcome (in use)',
    isClaimed: true,
    writesSendMarker: false,
    finishWaitMs: 250,
  },
  {
    name: 'claim, send marker and outcome',
    isClaimed: true,
    writesSendMarker: true,
    finishWaitMs: 250,
  },
];

async function measureClaims(variant: ClaimVariant): Promise<[number, number]> {
  const store = createStore();
  const rulesManager = createClaimManager({
    store,
    member: {host: 'entry-1', incarnation: 'entry-1-1'},
    finishWaitMs: variant.finishWaitMs,
  });
  const startedAtMs = performance.now();
  for (let i = 0; i < CONFIRMATION_COUNT; i++) {
    const send = async () => {
      if (variant.writesSendMarker)
        await store.put(`sent/${i}`, '', {kind: 'any'});
      return await callService();
    };
    if (!variant.isClaimed) await send();
    else {
      await rulesManager.runOnce({
        idempotencyKey: `key-${i}`,
        organisation: 'hanbit',
        requestDigest: 'digest',
        deadlineMs: Infinity,
        send,
      });
    }
  }
  const meanMs = (performance.now() - startedAtMs) / CONFIRMATION_COUNT;
  const calls = store.writeCount + store.readCount;
  return [calls / CONFIRMATION_COUNT, meanMs];
}

interface BillingVariant {
  readonly name: string;
  readonly copiesToPeer: boolean;
  readonly groupCommitMs: number;
  readonly maxBatchRecords?: number;
  readonly writesIntent?: boolean;
}

const BILLING_VARIANTS: readonly BillingVariant[] = [
  {
    name: 'peer copy, batches of 2 s (in use)',
    copiesToPeer: true,
    groupCommitMs: 0,
  },
  {
    name: 'group commit, 100 ms (no live peer)',
    copiesToPeer: false,
    groupCommitMs: 100,
  },
  {name: 'group commit, 1 s', copiesToPeer: false, groupCommitMs: 1000},
  {
    name: 'one write per request',
    copiesToPeer: false,
    groupCommitMs: 0,
    maxBatchRecords: 1,
  },
  {
    name: 'intent before dispatch, 100 ms groups',
    copiesToPeer: false,
    groupCommitMs: 100,
    writesIntent: true,
  },
];

async function measureBilling(variant: BillingVariant): Promise<void> {
  const store = createStore();
  const held = createHeldCopyBuffer({store});
  const peer = {
    host: 'entry-2',
    async hold(request: Parameters<typeof held.hold>[0]) {
      await sleep(PEER_DELAY_MS);
      held.hold(request);
    },
  };
  const createJournal = (incarnation: string) =>
    createBillingJournal({
      store,
      incarnation,
      choosePeer: () => (variant.copiesToPeer ? peer : undefined),
      groupCommitMs: variant.groupCommitMs,
      maxBatchRecords: variant.maxBatchRecords ?? MAX_BATCH_RECORDS,
    });
  const journal = createJournal('entry-1-1');
  const intents = createJournal('entry-1-1-intents');
  let addedMs = 0;
  const requests: Array<Promise<void>> = [];
  const runRequest = async (index: number) => {
    const record = createRecord(index);
    const startedAtMs = performance.now();
    if (variant.writesIntent) await intents.commit(record);
    const dispatchedAtMs = performance.now();
    await sleep(ANSWER_DURATION_MS);
    const answeredAtMs = performance.now();
    await journal.commit(record);
    addedMs += performance.now() - answeredAtMs + dispatchedAtMs - startedAtMs;
  };
  const count = (REQUESTS_PER_S * RUN_MS) / 1000;
  for (let i = 0; i < count; i++) {
    requests.push(runRequest(i));
    await sleep(RUN_MS / count);
  }
  await Promise.all(requests);
  await journal.flush();
  journal.stop();
  intents.stop();
  print(`billing: ${variant.name}`, {
    writesPerRequest: store.writeCount / count,
    writesPerS: (store.writeCount * 1000) / RUN_MS,
    addedMs: addedMs / count,
    latencyRatio: 1 + addedMs / count / ANSWER_DURATION_MS,
  });
}

function readHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

async function measureRecord(): Promise<void> {
  const store = MemoryObjectStore.create();
  store.isDown = true;
  const held = createHeldCopyBuffer({store, maxRecords: MEMORY_RECORD_COUNT});
  const beforeBytes = readHeapBytes();
  const journal = createBillingJournal({
    store,
    incarnation: 'entry-1-1',
    choosePeer: () => ({host: 'entry-2', hold: async () => {}}),
    maxPendingRecords: MEMORY_RECORD_COUNT,
  });
  const startedAt = process.cpuUsage();
  for (let i = 0; i < CPU_RECORD_COUNT; i++) {
    await journal.commit(createRecord(i));
  }
  const cpu = process.cpuUsage(startedAt);
  for (let i = CPU_RECORD_COUNT; i < MEMORY_RECORD_COUNT; i++) {
    await journal.commit(createRecord(i));
  }
  const journalBytes = readHeapBytes() - beforeBytes;
  const batch = {shard: 0, incarnation: 'entry-9-1', sequence: 1};
  for (let i = 0; i < MEMORY_RECORD_COUNT; i++) {
    const sequence = 1 + Math.floor(i / MAX_BATCH_RECORDS);
    const records = [createRecord(i)];
    held.hold({batch: {...batch, sequence, records}, durableThrough: 0});
  }
  const heldBytes = readHeapBytes() - beforeBytes - journalBytes;
  journal.stop();
  const retainedCount = held.recordCount + journal.status().pendingRecords;
  if (retainedCount < 2 * MEMORY_RECORD_COUNT)
    throw new Error('fewer records retained than committed');
  const records = Array.from({length: RECORDS_PER_BATCH}, (_, i) =>
    createRecord(i),
  );
  print('one record', {
    journalBytes: journalBytes / MEMORY_RECORD_COUNT,
    heldBytes: heldBytes / MEMORY_RECORD_COUNT,
    storedBytes:
      encodeBatchLink({writer: 'origin', records}).length / RECORDS_PER_BATCH,
    commitCpuUs: (cpu.user + cpu.system) / CPU_RECORD_COUNT,
  });
}

async function measureCompaction(): Promise<void> {
  const store = MemoryObjectStore.create();
  const member = {host: 'entry-1', incarnation: 'entry-1-1'};
  const compactor = createBillingCompactor({store, member, shard: 0});
  const journal = createBillingJournal({
    store,
    incarnation: member.incarnation,
    maxBatchRecords: RECORDS_PER_BATCH,
    groupCommitMs: 0,
  });
  const recordCount = RECORDS_PER_BATCH * COMPACTED_BATCH_COUNT;
  const commits = Array.from({length: recordCount}, (_, i) =>
    journal.commit(createRecord(i)),
  );
  await Promise.all(commits);
  const callsBefore = store.readCount + store.writeCount;
  const startedAt = process.cpuUsage();
  const {foldedCount} = await compactor.compact();
  await compactor.compact();
  const cpu = process.cpuUsage(startedAt);
  const calls = store.readCount + store.writeCount - callsBefore;
  journal.stop();
  print('compaction, batches of 42 records', {
    foldedCount,
    callsPerBatch: calls / foldedCount,
    cpuUsPerRecord: (cpu.user + cpu.system) / recordCount,
  });
}

let baselineMs = 0;
for (const variant of CLAIM_VARIANTS) {
  const [callsPerConfirmation, meanMs] = await measureClaims(variant);
  if (!variant.isClaimed) baselineMs = meanMs;
  print(`claims: ${variant.name}`, {
    callsPerConfirmation,
    meanMs,
    latencyRatio: meanMs / baselineMs,
  });
}
await Promise.all(BILLING_VARIANTS.map(measureBilling));
await measureRecord();
await measureCompaction();
process.exit(0);
