import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ClaimState} from '@anvilrudder/core';
import {createClaimCollector} from '../../src/control/claims/claim_collector.js';
import {MemoryObjectStore} from '../support/memory_object_store.js';

const RETENTION_MS = 1000;

class Bench {
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

  names(): string[] {
    return this.store.keys('claims/').map(key => key.split('/')[2]);
  }
}

test('[at-most-once] only finished claims older than the retention are deleted', async () => {
  const bench = new Bench();
  await bench.putClaim('answered', 'answered');
  await bench.putClaim('held', 'held');
  await bench.putClaim('released', 'released');
  await bench.putClaim('unknown', 'unknown');
  const collector = bench.createCollector('entry-1');
  await collector.collect();
  bench.nowMs = RETENTION_MS - 1;
  await collector.collect();
  await collector.collect();
  assert.equal(bench.names().length, 4);
  await bench.putClaim('young', 'answered');
  bench.nowMs = RETENTION_MS + 20;
  await collector.collect();
  const outcome = await collector.collect();
  assert.deepEqual(bench.names(), ['held', 'unknown', 'young']);
  assert.equal(outcome?.unresolvedCount, 2);
});

test('[at-most-once] the time between two collectors does not count', async () => {
  const bench = new Bench();
  await bench.putClaim('answered', 'answered');
  const first = bench.createCollector('entry-1');
  await first.collect();
  bench.nowMs = 600;
  await first.collect();
  bench.nowMs = 100_000;
  const second = bench.createCollector('entry-2');
  await second.collect();
  bench.nowMs += 300;
  await second.collect();
  await second.collect();
  assert.deepEqual(bench.names(), ['answered']);
  bench.nowMs += 200;
  await second.collect();
  await second.collect();
  assert.deepEqual(bench.names(), []);
});

test('[at-most-once] two collectors at once do not count the same time', async () => {
  const bench = new Bench();
  await bench.putClaim('answered', 'answered');
  const collectors = ['entry-1', 'entry-2'].map(h => bench.createCollector(h));
  while (bench.nowMs < RETENTION_MS - 100) {
    for (const collector of collectors) await collector.collect();
    bench.nowMs += 100;
  }
  for (const collector of [...collectors, ...collectors]) {
    await collector.collect();
  }
  assert.deepEqual(bench.names(), ['answered']);
});

test('[at-most-once] a claim that changed after the listing stays', async () => {
  const bench = new Bench();
  await bench.putClaim('a', 'released');
  const collector = bench.createCollector('entry-1');
  await collector.collect();
  bench.nowMs = 2 * RETENTION_MS;
  await collector.collect();
  let goOn = () => {};
  const slow = new Promise<void>(resolve => (goOn = resolve));
  bench.store.injectFaults({method: 'list', holdAfter: slow});
  const collecting = collector.collect();
  await bench.putClaim('a', 'held');
  goOn();
  await collecting;
  assert.deepEqual(bench.names(), ['a']);
});
