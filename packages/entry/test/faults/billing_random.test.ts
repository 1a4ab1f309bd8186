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

interface BilledRequest {
  readonly requestId: string;
  readonly requestCount: number;
}

/** An entry with peers and compactors that runs random steps from a seed. */
class RandomFaultFixture {
  readonly store = MemoryObjectStore.create();
  /** Ids of the requests whose record `commit` made durable or copied to a peer. */
  readonly protectedIds: string[] = [];
  committedCount = 0;
  private readonly generator: ReturnType<typeof xoroshiro128plus>;
  private readonly buffers: readonly HeldCopyBuffer[];
  private readonly journal;
  private readonly compactors;
  private readonly pending: Array<Promise<unknown>> = [];

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
    const {store} = this;
    this.buffers = Array.from({length: PEER_COUNT}, () =>
      createHeldCopyBuffer({store, random: () => 0}),
    );
    const peers = this.buffers.map((buffer, i) => this.createPeer(buffer, i));
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

  /** Runs random steps; some may still be in progress when it resolves. */
  async run(): Promise<void> {
    for (let step = 0; step < STEP_COUNT; step++) {
      this.pending.push(this.runStep(step));
      if (this.draw(3) === 0) await new Promise(r => setTimeout(r, 1));
    }
  }

  /**
   * Ends the entry and lists the billed requests. An entry that is lost does
   * not flush its journal; its peers hand off their copies instead.
   */
  async listBilled(isEntryLost: boolean): Promise<readonly BilledRequest[]> {
    await Promise.all(this.pending);
    this.journal.stop();
    if (isEntryLost) {
      for (const buffer of this.buffers) await this.handOffAll(buffer);
    } else {
      while (!(await this.journal.flush()));
    }
    for (let round = 0; round < 20; round++) {
      await Promise.all(this.compactors.map(c => c.compact()));
    }
    for (const buffer of this.buffers) buffer.stop();
    const usage = await readUsage(this.store, 1);
    return Object.entries(usage).map(([key, {requestCount}]) => ({
      requestId: key.split('/')[1],
      requestCount,
    }));
  }

  /** Draws a random integer from 0 to `count` - 1. */
  draw(count: number): number {
    return uniformInt(this.generator, 0, count - 1);
  }

  private async runStep(step: number): Promise<void> {
    const kind = this.draw(10);
    if (kind < 5) await this.answer(`r${step}`);
    else if (kind === 5) await this.journal.flush();
    else if (kind === 6) await this.buffers[this.draw(3)].handOff(INCARNATION);
    else if (kind === 7) await this.compactors[this.draw(2)].compact();
    else {
      const fault = STORE_FAULTS[this.draw(3)];
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
    if (protection !== 'unprotected') this.protectedIds.push(requestId);
  }

  private createPeer(buffer: HeldCopyBuffer, index: number): BillingPeer {
    return {
      host: `entry-${index + 2}`,
      hold: async request => {
        const outcome = this.draw(12);
        if (outcome === 0) throw new Error('refused');
        if (outcome < 3) await new Promise(r => setTimeout(r, 1));
        buffer.hold(request);
        if (outcome === 3) throw new Error('response lost');
      },
    };
  }

  private async handOffAll(buffer: HeldCopyBuffer): Promise<void> {
    while (buffer.recordCount > 0) await buffer.handOffAll();
  }
}

test('[billing] under random faults each answer is billed once, whether or not the entry is lost', async t => {
  t.diagnostic(`seeds 1 to ${SEED_COUNT}`);
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const fixture = new RandomFaultFixture(seed);
    await fixture.run();
    const isEntryLost = seed % 2 === 0;
    const billed = await fixture.listBilled(isEntryLost);
    const ids = billed.map(b => b.requestId);
    const twice = billed.filter(b => b.requestCount !== 1);
    const lost = fixture.protectedIds.filter(id => !ids.includes(id));
    assert.deepEqual({seed, twice, lost}, {seed, twice: [], lost: []});
    if (!isEntryLost) assert.equal(ids.length, fixture.committedCount);
  }
});
