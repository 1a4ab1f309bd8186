import {
  MAX_BATCH_RECORDS,
  createRandom,
  encodeBatchLink,
  type BillingRecord,
} from '@anvilrudder/core';
import {
  createBillingCompactor,
  createBillingJournal,
  createHeldCopyBuffer,
  createPeerTransports,
} from '@anvilrudder/entry/control';
import {
  LedgerService,
  createHoldClient,
  createLedgerHandlers,
} from '@anvilrudder/peers';
import type {CapacityCommand, CapacityOptions, Row} from './capacity_report.js';
import {CountingMemoryStore} from './counting_memory_store.js';
import {startRpcServer} from './loopback_server.js';
import {countCalls, readCpuUs, readHeapBytes, sleepMs} from './usage_meter.js';

const RECORD_COUNT = 400;
const SMALL_RECORD_COUNT = 20;
/**
 * Records per second at one entry: 10.6 is 3,800 records per second spread over
 * 360 entries; 50 is a higher load.
 */
const RATES_PER_S: readonly number[] = [10.6, 50];
const BATCH_AGES_MS: readonly number[] = [2000, 10_000];
const RUN_MS = 20_000;
const SMALL_RUN_MS = 500;
const PENDING_COUNT = 50_000;
const SMALL_PENDING_COUNT = 1000;
const PEER_HOST = 'entry-2';
const MS_PER_S = 1000;

function createRecord(index: number, tokens: number): BillingRecord {
  return {
    requestId: `01JDXZ4Q7M-${String(index).padStart(10, '0')}`,
    organisation: `school-${index % 10}`,
    period: '2026-12',
    kind: 'icebreaker',
    model: 'quick',
    version: 'v3',
    promptTokens: 300 + tokens,
    outputTokens: 400 + tokens,
    costMicros: 120,
  };
}

interface JournalLoad {
  readonly recordsPerS: number;
  readonly batchAgeMs: number;
}

/** Measures a journal that copies its records to a peer over loopback. */
async function measureJournal(
  {recordsPerS, batchAgeMs}: JournalLoad,
  {seed, isSmall}: CapacityOptions,
): Promise<Row> {
  const random = createRandom(seed);
  const store = CountingMemoryStore.create();
  const heldCopies = createHeldCopyBuffer({store});
  const server = await startRpcServer(router => {
    router.service(
      LedgerService,
      createLedgerHandlers(request => heldCopies.hold(request)),
    );
  });
  const transports = createPeerTransports({timeoutMs: MS_PER_S});
  const hold = createHoldClient(transports.resolve(server.address));
  const journal = createBillingJournal({
    store,
    incarnation: 'entry-1-1',
    choosePeer: () => ({host: PEER_HOST, hold}),
    maxBatchAgeMs: batchAgeMs,
    random,
  });
  const runMs = isSmall ? SMALL_RUN_MS : RUN_MS;
  const count = Math.max(1, Math.round((recordsPerS * runMs) / MS_PER_S));
  const cpuBefore = process.cpuUsage();
  const commits: Array<Promise<unknown>> = [];
  for (let i = 0; i < count; i++) {
    commits.push(journal.commit(createRecord(i, Math.floor(random() * 50))));
    await sleepMs(runMs / count);
  }
  await Promise.all(commits);
  const cpuUs = readCpuUs(cpuBefore);
  await journal.flush();
  const {bytesReceived, bytesSent} = server.readTraffic();
  journal.stop();
  heldCopies.stop();
  transports.close();
  server.stop();
  const {writes, writtenBytes} = store.counts;
  return {
    part: `journal, batch of ${batchAgeMs} ms`,
    recordsPerS,
    writesPerS: (writes * MS_PER_S) / runMs,
    storedBytesPerRecord: writtenBytes / count,
    copyBytesPerRecord: (bytesReceived + bytesSent) / count,
    cpuUsPerRecord: cpuUs / count,
  };
}

async function measurePending({isSmall}: CapacityOptions): Promise<Row> {
  const count = isSmall ? SMALL_PENDING_COUNT : PENDING_COUNT;
  const store = CountingMemoryStore.create();
  store.isDown = true;
  const heldCopies = createHeldCopyBuffer({store, maxRecords: count});
  const journal = createBillingJournal({
    store,
    incarnation: 'entry-1-1',
    choosePeer: () => ({host: PEER_HOST, hold: async () => {}}),
    maxBatchAgeMs: 3_600_000,
    maxPendingRecords: count,
  });
  const heapBefore = readHeapBytes();
  for (let i = 0; i < count; i++) await journal.commit(createRecord(i, i % 50));
  const heapAfterJournal = readHeapBytes();
  const batch = {shard: 0, incarnation: 'entry-9-1'};
  for (let i = 0; i < count; i++) {
    const records = [createRecord(i, i % 50)];
    const sequence = 1 + Math.floor(i / MAX_BATCH_RECORDS);
    heldCopies.hold({batch: {...batch, sequence, records}, durableThrough: 0});
  }
  const heapAfter = readHeapBytes();
  const row = {
    part: 'pending records',
    journalBytesPerRecord: (heapAfterJournal - heapBefore) / count,
    heldBytesPerRecord: (heapAfter - heapAfterJournal) / count,
    encodedBytesPerRecord:
      encodeBatchLink({
        writer: 'origin',
        records: Array.from({length: 42}, (_, i) => createRecord(i, i)),
      }).length / 42,
  };
  journal.stop();
  heldCopies.stop();
  if (heldCopies.recordCount + journal.status().pendingRecords < 2 * count) {
    throw new Error('pending records are missing');
  }
  return row;
}

async function measureCompaction({isSmall}: CapacityOptions): Promise<Row> {
  const store = CountingMemoryStore.create();
  const member = {host: 'entry-1', incarnation: 'entry-1-1'};
  const compactor = createBillingCompactor({store, member, shard: 0});
  const journal = createBillingJournal({
    store,
    incarnation: member.incarnation,
    maxBatchRecords: 42,
    groupCommitMs: 0,
  });
  const count = (isSmall ? SMALL_RECORD_COUNT : RECORD_COUNT) * 42;
  await Promise.all(
    Array.from({length: count}, (_, i) => journal.commit(createRecord(i, 0))),
  );
  const cpuBefore = process.cpuUsage();
  let batches = 0;
  const calls = await countCalls(store, async () => {
    batches = (await compactor.compact()).foldedCount;
    await compactor.compact();
  });
  const cpuUs = readCpuUs(cpuBefore);
  journal.stop();
  return {
    part: 'compaction, batches of 42',
    callsPerBatch: calls / Math.max(1, batches),
    cpuUsPerRecord: cpuUs / count,
  };
}

async function run(options: CapacityOptions) {
  const loads = RATES_PER_S.flatMap(recordsPerS =>
    BATCH_AGES_MS.map(batchAgeMs => ({recordsPerS, batchAgeMs})),
  );
  const rows: Row[] = [];
  for (const load of options.isSmall ? loads.slice(0, 1) : loads) {
    rows.push(await measureJournal(load, options));
  }
  rows.push(await measurePending(options));
  rows.push(await measureCompaction(options));
  return {name: CAPACITY_BILLING.name, seed: options.seed, rows, fits: []};
}

/** Measures the cost of billing a record. */
export const CAPACITY_BILLING: CapacityCommand = {
  name: 'capacity-billing',
  description: 'writes, bytes, CPU time and memory for each billing record',
  run,
};
