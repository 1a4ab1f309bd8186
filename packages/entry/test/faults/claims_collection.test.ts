import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ClaimState} from '@anvilrudder/core';
import {createClaimCollector} from '../../src/control/claims/claim_collector.js';
import {MemoryObjectStore} from '../support/memory_object_store.js';

const RETENTION_MS = 1000;

class Fixture {
  nowMs = 0;
  readonly store = MemoryObjectStore.create();

  createCollector(host: string) {
    return createClaimCollector({
      store: this.store,
      member: {host, incarnation: `${host}-1`},
      retentionMs: RETENTION_MS,
      nowMs: () => this.nowMs,
    });
  }

  async putClaim(name: string, state: ClaimState): Promise<void> {
    const claim = {claimId: name, requestDigest: 'd', state};
    await this.store.put(`claims/hanbit/${name}`, JSON.stringify(claim), {
      kind: 'any',
    });
  }

  listClaimNames(): string[] {
    return this.store.keys('claims/').map(key => key.split('/')[2]);
  }
}

test('[at-most-once] only finished claims older than the retention period are deleted', async () => {
  const fixture = new Fixture();
  await fixture.putClaim('answered', 'answered');
  await fixture.putClaim('held', 'held');
  await fixture.putClaim('released', 'released');
  await fixture.putClaim('unknown', 'unknown');
  const collector = fixture.createCollector('entry-1');
  await collector.collect();
  fixture.nowMs = RETENTION_MS - 1;
  await collector.collect();
  await collector.collect();
  assert.equal(fixture.listClaimNames().length, 4);
  await fixture.putClaim('young', 'answered');
  fixture.nowMs = RETENTION_MS + 20;
  await collector.collect();
  const outcome = await collector.collect();
  assert.deepEqual(fixture.listClaimNames(), ['held', 'unknown', 'young']);
  assert.equal(outcome?.unresolvedCount, 2);
});

test('[at-most-once] time without a running collector does not count towards the retention period', async () => {
  const fixture = new Fixture();
  await fixture.putClaim('answered', 'answered');
  const first = fixture.createCollector('entry-1');
  await first.collect();
  fixture.nowMs = 600;
  await first.collect();
  fixture.nowMs = 100_000;
  const second = fixture.createCollector('entry-2');
  await second.collect();
  fixture.nowMs += 300;
  await second.collect();
  await second.collect();
  assert.deepEqual(fixture.listClaimNames(), ['answered']);
  fixture.nowMs += 200;
  await second.collect();
  await second.collect();
  assert.deepEqual(fixture.listClaimNames(), []);
});

test('[at-most-once] two concurrent collectors do not count the same time twice', async () => {
  const fixture = new Fixture();
  await fixture.putClaim('answered', 'answered');
  const collectors = ['entry-1', 'entry-2'].map(h =>
    fixture.createCollector(h),
  );
  while (fixture.nowMs < RETENTION_MS - 100) {
    for (const collector of collectors) await collector.collect();
    fixture.nowMs += 100;
  }
  for (const collector of [...collectors, ...collectors]) {
    await collector.collect();
  }
  assert.deepEqual(fixture.listClaimNames(), ['answered']);
});

test('[at-most-once] a claim that changes after the listing is not deleted', async () => {
  const fixture = new Fixture();
  await fixture.putClaim('a', 'released');
  const collector = fixture.createCollector('entry-1');
  await collector.collect();
  fixture.nowMs = 2 * RETENTION_MS;
  await collector.collect();
  let resume = () => {};
  const paused = new Promise<void>(resolve => (resume = resolve));
  fixture.store.injectFaults({method: 'list', holdAfter: paused});
  const collecting = collector.collect();
  await fixture.putClaim('a', 'held');
  resume();
  await collecting;
  assert.deepEqual(fixture.listClaimNames(), ['a']);
});
