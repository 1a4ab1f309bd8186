import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  parseTotals,
  resolveTotalsKey,
  type BillingRecord,
} from '@anvilrudder/core';
import {createBillingCompactor} from '../../src/control/billing/billing_compactor.js';
import {
  createBillingJournal,
  type BillingJournal,
  type RecordProtection,
} from '../../src/control/billing/billing_journal.js';
import type {BillingPeer} from '../../src/control/billing/billing_peer.js';
import {
  createHeldCopyBuffer,
  type HeldCopyBuffer,
} from '../../src/control/billing/held_copy_buffer.js';
import {readUsage} from '../../src/control/billing/usage_report.js';
import {
  MemoryObjectStore,
  type ScriptedFault,
} from '../support/memory_object_store.js';

function createRecord(requestId: string): BillingRecord {
  return {
    requestId,
    organisation: 'hanbit',
    period: '2026-12',
    kind: 'icebreaker',
    model: 'quick',
    version: 'v1',
    promptTokens: 10,
    outputTokens: 20,
    costMicros: 30,
  };
}

type PeerFault = 'refuses' | 'answerLost';

interface Bench {
  readonly store: MemoryObjectStore;
  readonly journal: BillingJournal;
  readonly held: readonly HeldCopyBuffer[];
}

interface BenchOptions {
  readonly peerCount?: number;
  readonly storeFaults?: readonly ScriptedFault[];
  /** One entry a copy sent to the first peer. */
  readonly peerFaults?: ReadonlyArray<PeerFault | undefined>;
}

function createBench(options: BenchOptions): Bench {
  const {peerCount = 2, storeFaults = [], peerFaults = []} = options;
  const store = MemoryObjectStore.create();
  store.injectFaults(...storeFaults);
  const held = Array.from({length: peerCount}, () =>
    createHeldCopyBuffer({store}),
  );
  const pendingFaults = [...peerFaults];
  const peers = held.map((records, i): BillingPeer => ({
    host: `entry-${i + 2}`,
    async hold(request) {
      const fault = i === 0 ? pendingFaults.shift() : undefined;
      if (fault === 'refuses') throw new Error('refused');
      records.hold(request);
      if (fault === 'answerLost') throw new Error('answer lost');
      await Promise.resolve();
    },
  }));
  const journal = createBillingJournal({
    store,
    incarnation: 'entry-1-1',
    choosePeer: excluded => peers.find(peer => !excluded.has(peer.host)),
    maxBatchAgeMs: 3_600_000,
    groupCommitMs: 1,
    durableWaitMs: 20,
    firstRetryMs: 1,
    maxRetryMs: 5,
  });
  return {store, journal, held};
}

async function countBilled(store: MemoryObjectStore): Promise<number> {
  for (const host of ['entry-8', 'entry-9']) {
    const member = {host, incarnation: `${host}-1`};
    const compactor = createBillingCompactor({store, member, shard: 0});
    await Promise.all([compactor.compact(), compactor.compact()]);
    await compactor.compact();
  }
  const text = store.peek(resolveTotalsKey(0));
  if (text === undefined) return 0;
  const usage = parseTotals(text).usage['2026-12/hanbit'];
  assert.equal(usage.costMicros, 30 * usage.requestCount);
  return usage.requestCount;
}

/** How the entry ends after its answers. */
type Ending =
  'flushes' | 'lost' | 'lostAfterFirstPeer' | 'lostAfterFlush' | 'believedLost';

interface Row {
  readonly fault: string;
  readonly options?: BenchOptions;
  readonly isStoreDown?: boolean;
  readonly ending: Ending;
  readonly protection: RecordProtection;
}

const ROWS: readonly Row[] = [
  {fault: 'no fault', ending: 'flushes', protection: 'peer'},
  {
    fault: 'the entry is lost before its batch is written',
    ending: 'lost',
    protection: 'peer',
  },
  {
    fault: 'the entry is lost after its batch is written',
    ending: 'lostAfterFlush',
    protection: 'peer',
  },
  {
    fault: 'a peer believes the entry lost, wrongly',
    ending: 'believedLost',
    protection: 'peer',
  },
  {
    fault: 'the batch takes effect and its answer is lost',
    options: {storeFaults: [{method: 'put', fault: 'answerLost'}]},
    ending: 'flushes',
    protection: 'peer',
  },
  {
    fault: 'the batch takes effect, every answer is lost, then the host',
    options: {
      storeFaults: [1, 2, 3].map(() => ({method: 'put', fault: 'answerLost'})),
    },
    ending: 'lostAfterFlush',
    protection: 'peer',
  },
  {
    fault: 'the first peer refuses the second copy, then the entry is lost',
    options: {peerFaults: [undefined, 'refuses']},
    ending: 'lost',
    protection: 'peer',
  },
  {
    fault: 'the first peer is lost with its copies, later the entry',
    options: {peerFaults: [undefined, 'refuses']},
    ending: 'lostAfterFirstPeer',
    protection: 'peer',
  },
  {
    fault: 'two peers hold parts of a batch and both believe the entry lost',
    options: {peerFaults: [undefined, 'answerLost']},
    ending: 'believedLost',
    protection: 'peer',
  },
  {
    fault: 'no peer is left',
    options: {peerCount: 0},
    ending: 'lost',
    protection: 'durable',
  },
  {
    fault: 'the store is out while a peer holds the copies',
    isStoreDown: true,
    ending: 'lost',
    protection: 'peer',
  },
  {
    fault: 'the store is out and no peer is left',
    options: {peerCount: 0},
    isStoreDown: true,
    ending: 'flushes',
    protection: 'unprotected',
  },
];

async function endEntry(bench: Bench, ending: Ending): Promise<void> {
  const {journal, held, store} = bench;
  const survivors = ending === 'lostAfterFirstPeer' ? held.slice(1) : held;
  const handOff = () =>
    Promise.all(survivors.map(peer => peer.handOff('entry-1-1')));
  if (ending === 'believedLost') await handOff();
  const isFlushed = ending !== 'lost' && ending !== 'lostAfterFirstPeer';
  if (isFlushed) await journal.flush();
  journal.stop();
  store.isDown = false;
  if (ending !== 'flushes') await handOff();
  else while (!(await journal.flush()));
}

for (const row of ROWS) {
  test(`[billing] ${row.fault}: every answer is billed once`, async () => {
    const bench = createBench(row.options ?? {});
    bench.store.isDown = row.isStoreDown ?? false;
    const protections: RecordProtection[] = [];
    for (const requestId of ['r1', 'r2', 'r3']) {
      protections.push(await bench.journal.commit(createRecord(requestId)));
    }
    await endEntry(bench, row.ending);
    assert.equal(await countBilled(bench.store), 3);
    assert.equal(protections.at(-1), row.protection);
  });
}

test('[billing] answers go on while a hand-off wrongly runs', async () => {
  const bench = createBench({});
  let handOffs = Promise.resolve<unknown>(undefined);
  for (let i = 0; i < 30; i++) {
    const commits = [0, 1, 2].map(k =>
      bench.journal.commit(createRecord(`r${i}-${k}`)),
    );
    if (i % 3 === 0) handOffs = bench.held[0].handOff('entry-1-1');
    if (i % 5 === 0) await bench.journal.flush();
    await Promise.all(commits);
  }
  await handOffs;
  await endEntry(bench, 'lostAfterFlush');
  assert.equal(await countBilled(bench.store), 90);
});

test('[billing] with every peer cut off an answer waits for two peers at most', async () => {
  const store = MemoryObjectStore.create();
  const asked: string[] = [];
  const journal = createBillingJournal({
    store,
    incarnation: 'entry-1-1',
    choosePeer: excluded => ({
      host: `entry-${2 + excluded.size}`,
      hold() {
        asked.push(`entry-${2 + excluded.size}`);
        return new Promise(() => {});
      },
    }),
    copyTimeoutMs: 5,
    groupCommitMs: 1,
  });
  assert.equal(await journal.commit(createRecord('r1')), 'durable');
  assert.equal(await journal.commit(createRecord('r2')), 'durable');
  assert.deepEqual(asked, ['entry-2', 'entry-3']);
  journal.stop();
});

test('[billing] the copies of a lost peer are made anew while the store is out', async () => {
  const bench = createBench({});
  bench.store.isDown = true;
  await bench.journal.commit(createRecord('r1'));
  await bench.journal.handleHostLost('entry-3');
  assert.equal(bench.held[1].recordCount, 0);
  await bench.journal.handleHostLost('entry-2');
  assert.equal(bench.held[1].recordCount, 1);
  bench.journal.stop();
  bench.store.isDown = false;
  await bench.held[1].handOff('entry-1-1');
  assert.equal(await countBilled(bench.store), 1);
});

test('[billing] entries of several shards add up to one bill', async () => {
  const store = MemoryObjectStore.create();
  const shardCount = 4;
  for (let entry = 0; entry < 8; entry++) {
    const journal = createBillingJournal({
      store,
      incarnation: `entry-${entry}`,
      shardCount,
      groupCommitMs: 0,
    });
    await journal.commit(createRecord(`r${entry}`));
    journal.stop();
  }
  for (let shard = 0; shard < shardCount; shard++) {
    const member = {host: 'entry-0', incarnation: 'entry-0'};
    await createBillingCompactor({store, member, shard}).compact();
  }
  const usage = await readUsage(store, shardCount);
  assert.equal(usage['2026-12/hanbit'].requestCount, 8);
  const shards = new Set(
    store.keys('billing/batches/').map(key => key.split('/')[2]),
  );
  assert.ok(shards.size > 1);
});

test('[billing] a copy that arrives during a hand-off is handed off too', async () => {
  const bench = createBench({peerCount: 1});
  let goOn = () => {};
  const slow = new Promise<void>(resolve => (goOn = resolve));
  bench.store.injectFaults({method: 'put', holdBefore: slow});
  await bench.journal.commit(createRecord('r1'));
  const handOff = bench.held[0].handOff('entry-1-1');
  await bench.journal.commit(createRecord('r2'));
  goOn();
  await handOff;
  await endEntry(bench, 'lost');
  assert.equal(await countBilled(bench.store), 2);
});

test('[billing] the store is out for long: memory is bounded and admission told', async () => {
  const store = MemoryObjectStore.create();
  store.isDown = true;
  const held = createHeldCopyBuffer({store});
  const journal = createBillingJournal({
    store,
    incarnation: 'entry-1-1',
    choosePeer: () => ({
      host: 'entry-2',
      hold: request => Promise.resolve(held.hold(request)),
    }),
    maxBatchRecords: 10,
    maxPendingRecords: 50,
    firstRetryMs: 1,
    maxRetryMs: 5,
  });
  let answered = 0;
  while (!journal.status().isFull) {
    await journal.commit(createRecord(`r${answered}`));
    answered += 1;
  }
  assert.equal(answered, 50);
  store.isDown = false;
  while (!(await journal.flush()));
  assert.equal(store.keys('billing/batches/').length, 5);
  assert.equal(await countBilled(store), 50);
  assert.equal(journal.status().isFull, false);
});

test('[billing] the loss of the entry and its peer loses what is not durable', async () => {
  const bench = createBench({peerCount: 1});
  await bench.journal.commit(createRecord('r1'));
  await bench.journal.flush();
  const protection = await bench.journal.commit(createRecord('r2'));
  assert.equal(protection, 'peer');
  bench.journal.stop();
  assert.equal(await countBilled(bench.store), 1);
});
