import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  createLeaseManager,
  type LeaseManager,
} from '../../src/control/leases/lease_manager.js';
import {
  MemoryObjectStore,
  type ScriptedFault,
} from '../support/memory_object_store.js';

const LEASE_MS = 1000;
const MARGIN_MS = 100;

class Fixture {
  nowMs = 0;
  readonly store = MemoryObjectStore.create();

  createManager(host: string): LeaseManager {
    return createLeaseManager({
      store: this.store,
      member: {host, incarnation: `${host}-1`},
      duty: 'rollouts',
      leaseMs: LEASE_MS,
      marginMs: MARGIN_MS,
      nowMs: () => this.nowMs,
    });
  }
}

interface FaultCase {
  readonly fault: string;
  /** Store faults while the first holder renews its lease. */
  readonly storeFaults?: readonly ScriptedFault[];
  readonly isFirstPaused?: boolean;
  readonly isFirstStopped?: boolean;
  /**
   * Expected fencing numbers of the two processes after the first lease has
   * expired; undefined for a process that does not hold the lease.
   */
  readonly firstFencing: number | undefined;
  readonly secondFencing: number | undefined;
}

const CASES: readonly FaultCase[] = [
  {fault: 'no fault', firstFencing: 1, secondFencing: undefined},
  {
    fault: 'a renewal takes effect and its response is lost',
    storeFaults: [{method: 'put', fault: 'answerLost'}],
    firstFencing: 1,
    secondFencing: undefined,
  },
  {
    fault: 'a renewal takes effect and all its responses are lost',
    storeFaults: [1, 2, 3].map(() => ({method: 'put', fault: 'answerLost'})),
    firstFencing: undefined,
    secondFencing: undefined,
  },
  {
    fault: 'a renewal is refused',
    storeFaults: [{method: 'put', fault: 'refused'}],
    firstFencing: undefined,
    secondFencing: 2,
  },
  {
    fault: 'the holder is paused',
    isFirstPaused: true,
    firstFencing: undefined,
    secondFencing: 2,
  },
  {
    fault: 'the holder stops',
    isFirstStopped: true,
    firstFencing: undefined,
    secondFencing: 2,
  },
];

for (const testCase of CASES) {
  test(`[orders] ${testCase.fault}: at most one process holds the lease, a successor with a higher fencing number`, async () => {
    const fixture = new Fixture();
    const [first, second] = ['entry-1', 'entry-2'].map(h =>
      fixture.createManager(h),
    );
    assert.equal((await first.renewOrAcquire())?.fencing, 1);
    assert.equal(await second.renewOrAcquire(), undefined);
    fixture.nowMs = 500;
    fixture.store.injectFaults(...(testCase.storeFaults ?? []));
    if (testCase.isFirstStopped) await first.stop();
    else if (!testCase.isFirstPaused) await first.renewOrAcquire();
    fixture.nowMs = LEASE_MS;
    const granted = await second.renewOrAcquire();
    assert.equal(granted?.fencing, testCase.secondFencing);
    assert.equal(first.current()?.fencing, testCase.firstFencing);
  });
}

test('[orders] the lease ends for its holder before another process can acquire it', async () => {
  const fixture = new Fixture();
  const first = fixture.createManager('entry-1');
  const second = fixture.createManager('entry-2');
  await first.renewOrAcquire();
  await second.renewOrAcquire();
  fixture.nowMs = LEASE_MS - MARGIN_MS;
  assert.equal(first.current(), undefined);
  assert.equal(await second.renewOrAcquire(), undefined);
});

test('[orders] a holder that resumes after a pause finds that another process holds the lease', async () => {
  const fixture = new Fixture();
  const first = fixture.createManager('entry-1');
  const second = fixture.createManager('entry-2');
  await first.renewOrAcquire();
  await second.renewOrAcquire();
  fixture.nowMs = LEASE_MS;
  await second.renewOrAcquire();
  assert.equal(await first.renewOrAcquire(), undefined);
  fixture.nowMs = 2 * LEASE_MS;
  assert.equal((await first.renewOrAcquire())?.fencing, 3);
  assert.equal(await second.renewOrAcquire(), undefined);
});

test('[orders] a process that never got the response to its grant acquires the lease again with a higher fencing number', async () => {
  const fixture = new Fixture();
  const first = fixture.createManager('entry-1');
  fixture.store.injectFaults(
    ...[1, 2, 3].map(() => ({method: 'put', fault: 'answerLost'}) as const),
  );
  assert.equal(await first.renewOrAcquire(), undefined);
  assert.equal((await first.renewOrAcquire())?.fencing, 2);
});

test('[orders] no process holds the lease while the store is unavailable past its expiry, and one does afterwards', async () => {
  const fixture = new Fixture();
  const managers = ['entry-1', 'entry-2', 'entry-3'].map(h =>
    fixture.createManager(h),
  );
  await managers[0].renewOrAcquire();
  fixture.store.isDown = true;
  fixture.nowMs = 5 * LEASE_MS;
  for (const manager of managers) {
    assert.equal(await manager.renewOrAcquire(), undefined);
  }
  fixture.store.isDown = false;
  const grants = await Promise.all(
    managers.map(manager => manager.renewOrAcquire()),
  );
  assert.equal(grants.filter(grant => grant !== undefined).length, 1);
});
