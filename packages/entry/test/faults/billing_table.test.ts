import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseTotals, resolveTotalsKey} from '@anvilrudder/core';
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
import {createRecord} from '../support/billing_records.js';
import {
  MemoryObjectStore,
  type ScriptedFault,
} from '../support/memory_object_store.js';

type PeerFault = 'refuses' | 'answerLost';

interface Fixture {
  readonly store: MemoryObjectStore;
  readonly journal: BillingJournal;
  readonly copyBuffers: readonly HeldCopyBuffer[];
}

interface FixtureOptions {
  readonly peerCount?: number;
  readonly storeFaults?: readonly ScriptedFault[];
  /** Faults of the first peer, one for each copy that it receives. */
  readonly peerFaults?: ReadonlyArray<PeerFault | undefined>;
}

function createFixture(options: FixtureOptions): Fixture {
  const {peerCount = 2, storeFaults = [], peerFaults = []} = options;
  const store = MemoryObjectStore.create();
  store.injectFaults(...storeFaults);
  const copyBuffers = Array.from({length: peerCount}, () =>
    createHeldCopyBuffer({store}),
  );
  const pendingFaults = [...peerFaults];
  const peers = copyBuffers.map((copyBuffer, i): BillingPeer => ({
    host: `entry-${i + 2}`,
    async hold(request) {
      const fault = i === 0 ? pendingFaults.shift() : undefined;
      if (fault === 'refuses') throw new Error('refused');
      copyBuffer.hold(request);
      if (fault === 'answerLost') throw new Error('response lost');
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
  return {store, journal, copyBuffers};
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

/** How the entry ends after it has committed the records. */
type EntryEnding =
  'flushes' | 'lost' | 'lostAfterFirstPeer' | 'lostAfterFlush' | 'believedLost';

interface FaultCase {
  readonly fault: string;
  readonly options?: FixtureOptions;
  readonly isStoreDown?: boolean;
  readonly ending: EntryEnding;
  readonly protection: RecordProtection;
}

const CASES: readonly FaultCase[] = [
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
    fault: 'the peers wrongly consider the entry lost',
    ending: 'believedLost',
    protection: 'peer',
  },
  {
    fault: 'the write of the batch takes effect and its response is lost',
    options: {storeFaults: [{method: 'put', fault: 'answerLost'}]},
    ending: 'flushes',
    protection: 'peer',
  },
  {
    fault:
      'the write of the batch takes effect, all its responses are lost, then the entry is lost',
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
    fault: 'the first peer is lost with its copies, then the entry is lost',
    options: {peerFaults: [undefined, 'refuses']},
    ending: 'lostAfterFirstPeer',
    protection: 'peer',
  },
  {
    fault:
      'two peers hold parts of a batch and both wrongly consider the entry lost',
    options: {peerFaults: [undefined, 'answerLost']},
    ending: 'believedLost',
    protection: 'peer',
  },
  {
    fault: 'no peer is available',
    options: {peerCount: 0},
    ending: 'lost',
    protection: 'durable',
  },
  {
    fault: 'the store is unavailable while a peer holds the copies',
    isStoreDown: true,
    ending: 'lost',
    protection: 'peer',
  },
  {
    fault: 'neither the store nor a peer is available',
    options: {peerCount: 0},
    isStoreDown: true,
    ending: 'flushes',
    protection: 'unprotected',
  },
];

async function endEntry(fixture: Fixture, ending: EntryEnding): Promise<void> {
  const {journal, copyBuffers, store} = fixture;
  const survivors =
    ending === 'lostAfterFirstPeer' ? copyBuffers.slice(1) : copyBuffers;
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

for (const testCase of CASES) {
  test(`[billing] ${testCase.fault}: every answer is billed once`, async () => {
    const fixture = createFixture(testCase.options ?? {});
    fixture.store.isDown = testCase.isStoreDown ?? false;
    const protections: RecordProtection[] = [];
    for (const requestId of ['r1', 'r2', 'r3']) {
      protections.push(await fixture.journal.commit(createRecord(requestId)));
    }
    await endEntry(fixture, testCase.ending);
    assert.equal(await countBilled(fixture.store), 3);
    assert.equal(protections.at(-1), testCase.protection);
  });
}

test('[billing] answers during a mistaken hand-off are billed once', async () => {
  const fixture = createFixture({});
  let handOffs = Promise.resolve<unknown>(undefined);
  for (let i = 0; i < 30; i++) {
    const commits = [0, 1, 2].map(k =>
      fixture.journal.commit(createRecord(`r${i}-${k}`)),
    );
    if (i % 3 === 0) handOffs = fixture.copyBuffers[0].handOff('entry-1-1');
    if (i % 5 === 0) await fixture.journal.flush();
    await Promise.all(commits);
  }
  await handOffs;
  await endEntry(fixture, 'lostAfterFlush');
  assert.equal(await countBilled(fixture.store), 90);
});

test('[billing] an answer waits for at most two peers when no peer responds', async () => {
  const store = MemoryObjectStore.create();
  const contactedHosts: string[] = [];
  const journal = createBillingJournal({
    store,
    incarnation: 'entry-1-1',
    choosePeer: excluded => ({
      host: `entry-${2 + excluded.size}`,
      hold() {
        contactedHosts.push(`entry-${2 + excluded.size}`);
        return new Promise(() => {});
      },
    }),
    copyTimeoutMs: 5,
    groupCommitMs: 1,
  });
  assert.equal(await journal.commit(createRecord('r1')), 'durable');
  assert.equal(await journal.commit(createRecord('r2')), 'durable');
  assert.deepEqual(contactedHosts, ['entry-2', 'entry-3']);
  journal.stop();
});

test('[billing] the copies of a lost peer are sent to another peer while the store is unavailable', async () => {
  const fixture = createFixture({});
  fixture.store.isDown = true;
  await fixture.journal.commit(createRecord('r1'));
  await fixture.journal.handleHostLost('entry-3');
  assert.equal(fixture.copyBuffers[1].recordCount, 0);
  await fixture.journal.handleHostLost('entry-2');
  assert.equal(fixture.copyBuffers[1].recordCount, 1);
  fixture.journal.stop();
  fixture.store.isDown = false;
  await fixture.copyBuffers[1].handOff('entry-1-1');
  assert.equal(await countBilled(fixture.store), 1);
});

test('[billing] the usage of an organisation is summed over all shards', async () => {
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
  const fixture = createFixture({peerCount: 1});
  let resume = () => {};
  const paused = new Promise<void>(resolve => (resume = resolve));
  fixture.store.injectFaults({method: 'put', holdBefore: paused});
  await fixture.journal.commit(createRecord('r1'));
  const handOff = fixture.copyBuffers[0].handOff('entry-1-1');
  await fixture.journal.commit(createRecord('r2'));
  resume();
  await handOff;
  await endEntry(fixture, 'lost');
  assert.equal(await countBilled(fixture.store), 2);
});

test('[billing] in a long outage of the store the journal reports that it is full at its record limit', async () => {
  const store = MemoryObjectStore.create();
  store.isDown = true;
  const copyBuffer = createHeldCopyBuffer({store});
  const journal = createBillingJournal({
    store,
    incarnation: 'entry-1-1',
    choosePeer: () => ({
      host: 'entry-2',
      hold: request => Promise.resolve(copyBuffer.hold(request)),
    }),
    maxBatchRecords: 10,
    maxPendingRecords: 50,
    firstRetryMs: 1,
    maxRetryMs: 5,
  });
  let committedCount = 0;
  while (!journal.status().isFull) {
    await journal.commit(createRecord(`r${committedCount}`));
    committedCount += 1;
  }
  assert.equal(committedCount, 50);
  store.isDown = false;
  while (!(await journal.flush()));
  assert.equal(store.keys('billing/batches/').length, 5);
  assert.equal(await countBilled(store), 50);
  assert.equal(journal.status().isFull, false);
});

test('[billing] records that are not durable are lost when both the entry and its peer are lost', async () => {
  const fixture = createFixture({peerCount: 1});
  await fixture.journal.commit(createRecord('r1'));
  await fixture.journal.flush();
  const protection = await fixture.journal.commit(createRecord('r2'));
  assert.equal(protection, 'peer');
  fixture.journal.stop();
  assert.equal(await countBilled(fixture.store), 1);
});
