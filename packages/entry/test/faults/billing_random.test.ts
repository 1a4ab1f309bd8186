import assert from 'node:assert/strict';
import {test} from 'node:test';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createBillingCompactor} from '../../src/control/billing/billing_compactor.js';
import {createBillingJournal} from '../../src/control/billing/billing_journal.js';
import type {BillingPeer} from '../../src/control/billing/billing_peer.js';
import {
  createHeldCopyBuffer,
  type HeldCopyBuffer,
} from '../../src/control/billing/held_copy_buffer.js';
import {readUsage} from '../../src/control/billing/usage_report.js';
import {
  MemoryObjectStore,
  type StoreFault,
} from '../support/memory_object_store.js';

const SEED_COUNT = 150;
const STEP_COUNT = 40;
const PEER_COUNT = 3;
const INCARNATION = 'entry-1-1';
const STORE_FAULTS: readonly StoreFault[] = [
  'refused',
  'answerLost',
  'requestLost',
];

interface Billed {
  readonly requestId: string;
  readonly requestCount: number;
}

/** One entry with peers and compactors, driven by a seed. */
class RandomBench {
  readonly store = MemoryObjectStore.create();
  /** Answers whose record was protected before their end. */
  readonly answered: string[] = [];
  committedCount = 0;
  private readonly generator: ReturnType<typeof xoroshiro128plus>;
  private readonly held: readonly HeldCopyBuffer[];
  private readonly journal;
  private readonly compactors;
  private readonly pending: Array<Promise<unknown>> = [];

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
    const {store} = this;
    this.held = Array.from({length: PEER_COUNT}, () =>
      createHeldCopyBuffer({store, random: () => 0}),
    );
    const peers = this.held.map((held, i) => this.createPeer(held, i));
    this.journal = createBillingJournal({
      store,
      incarnation: INCARNATION,
      choosePeer: excluded => peers.find(p => !excluded.has(p.host)),
      maxBatchAgeMs: 1,
      maxBatchRecords: 4,
      groupCommitMs: 0,
      durableWaitMs: 3,
      peerExclusionMs: 1,
      firstRetryMs: 1,
      maxRetryMs: 2,
    });
    this.compactors = [0, 1].map(i => {
      const member = {host: `entry-${i}`, incarnation: `compactor-${i}`};
      return createBillingCompactor({store, member, shard: 0});
    });
  }

  /** Runs random steps; whatever began may still be under way. */
  async run(): Promise<void> {
    for (let step = 0; step < STEP_COUNT; step++) {
      this.pending.push(this.runStep(step));
      if (this.choose(3) === 0) await new Promise(r => setTimeout(r, 1));
    }
  }

  /** Ends the entry, loses it or not, and lists what is billed. */
  async listBilled(isEntryLost: boolean): Promise<readonly Billed[]> {
    await Promise.all(this.pending);
    this.journal.stop();
    if (isEntryLost) {
      for (const held of this.held) await this.handOffAll(held);
    } else {
      while (!(await this.journal.flush()));
    }
    for (let round = 0; round < 20; round++) {
      await Promise.all(this.compactors.map(c => c.compact()));
    }
    for (const held of this.held) held.stop();
    const usage = await readUsage(this.store, 1);
    return Object.entries(usage).map(([key, {requestCount}]) => ({
      requestId: key.split('/')[1],
      requestCount,
    }));
  }

  choose(count: number): number {
    return uniformInt(this.generator, 0, count - 1);
  }

  private async runStep(step: number): Promise<void> {
    const kind = this.choose(10);
    if (kind < 5) await this.answer(`r${step}`);
    else if (kind === 5) await this.journal.flush();
    else if (kind === 6) await this.held[this.choose(3)].handOff(INCARNATION);
    else if (kind === 7) await this.compactors[this.choose(2)].compact();
    else {
      const fault = STORE_FAULTS[this.choose(3)];
      this.store.injectFaults({method: kind === 8 ? 'put' : undefined, fault});
    }
  }

  private async answer(requestId: string): Promise<void> {
    this.committedCount += 1;
    const protection = await this.journal.commit({
      requestId,
      organisation: requestId,
      period: '2026-12',
      kind: 'icebreaker',
      model: 'quick',
      version: 'v1',
      promptTokens: 1,
      outputTokens: 1,
      costMicros: 1,
    });
    if (protection !== 'unprotected') this.answered.push(requestId);
  }

  private createPeer(held: HeldCopyBuffer, index: number): BillingPeer {
    return {
      host: `entry-${index + 2}`,
      hold: async request => {
        const fate = this.choose(12);
        if (fate === 0) throw new Error('refused');
        if (fate < 3) await new Promise(r => setTimeout(r, 1));
        held.hold(request);
        if (fate === 3) throw new Error('answer lost');
      },
    };
  }

  private async handOffAll(held: HeldCopyBuffer): Promise<void> {
    while (held.recordCount > 0) await held.handOffAll();
  }
}

test('[billing] random faults, with the entry lost or not, bill each answer once', async t => {
  t.diagnostic(`seeds 1 to ${SEED_COUNT}`);
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const bench = new RandomBench(seed);
    await bench.run();
    const isEntryLost = seed % 2 === 0;
    const billed = await bench.listBilled(isEntryLost);
    const ids = billed.map(b => b.requestId);
    const twice = billed.filter(b => b.requestCount !== 1);
    const lost = bench.answered.filter(id => !ids.includes(id));
    assert.deepEqual({seed, twice, lost}, {seed, twice: [], lost: []});
    if (!isEntryLost) assert.equal(ids.length, bench.committedCount);
  }
});
