import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createDutyRunner} from '../../src/control/leases/duty_runner.js';
import {createLeaseManager} from '../../src/control/leases/lease_manager.js';
import {MemoryObjectStore} from '../support/memory_object_store.js';

test('[orders] a duty runs at one entry and continues at another after the first one stops', async () => {
  const store = MemoryObjectStore.create();
  const runs: string[] = [];
  const createRunner = (host: string) =>
    createDutyRunner({
      lease: createLeaseManager({
        store,
        member: {host, incarnation: `${host}-1`},
        duty: 'billing-0',
        leaseMs: 60,
        marginMs: 10,
      }),
      intervalMs: 2,
      run: grant => {
        runs.push(`${host} ${grant.fencing}`);
        return runs.length % 2 === 0
          ? Promise.reject(new Error('a failed run'))
          : Promise.resolve();
      },
    });
  const first = createRunner('entry-1');
  const second = createRunner('entry-2');
  first.start();
  await waitUntil(() => runs.length >= 3);
  second.start();
  await first.stop();
  const isRunOfSecond = (run: string) => run.startsWith('entry-2');
  await waitUntil(() => runs.some(isRunOfSecond));
  await second.stop();
  const firstRunOfSecond = runs.findIndex(isRunOfSecond);
  assert.ok(runs.slice(0, firstRunOfSecond).every(run => run === 'entry-1 1'));
  assert.ok(runs.slice(firstRunOfSecond).every(run => run === 'entry-2 2'));
});

async function waitUntil(isDone: () => boolean): Promise<void> {
  while (!isDone()) await new Promise(resolve => setTimeout(resolve, 2));
}
