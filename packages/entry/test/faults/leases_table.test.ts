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

class Bench {
  nowMs = 0;
  readonly store = MemoryObjectStore.create();

  createKeeper(host: string): LeaseManager {
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

interface Row {
  readonly fault: string;
  /** Faults of the first holder's second attempt. */
  readonly faults?: readonly ScriptedFault[];
  readonly isFirstPaused?: boolean;
  readonly isFirstStopped?: boolean;
  /** Fencing numbers of both after the first lease has run out. */
  readonly first: number | undefined;
  readonly second: number | undefined;
}

const ROWS: readonly Row[] = [
  {fault: 'no fault', first: 1, second: undefined},
  {
    fault: 'a renewal whose answer is lost',
    faults: [{method: 'put', fault: 'answerLost'}],
    first: 1,
    second: undefined,
  },
  {
    fault: 'a renewal that takes effect while every answer is lost',
    faults: [1, 2, 3].map(() => ({method: 'put', fault: 'answerLost'})),
    first: undefined,
    second: undefined,
  },
  {
    fault: 'a renewal that is refused',
    faults: [{method: 'put', fault: 'refused'}],
    first: undefined,
    second: 2,
  },
  {
    fault: 'a holder that pauses',
    isFirstPaused: true,
    first: undefined,
    second: 2,
  },
  {
    fault: 'a holder that stops',
    isFirstStopped: true,
    first: undefined,
    second: 2,
  },
];

for (const row of ROWS) {
  test(`[orders] ${row.fault}: at most one holder, with a higher number`, async () => {
    const bench = new Bench();
    const [first, second] = ['entry-1', 'entry-2'].map(h =>
      bench.createKeeper(h),
    );
    assert.equal((await first.renewOrAcquire())?.fencing, 1);
    assert.equal(await second.renewOrAcquire(), undefined);
    bench.nowMs = 500;
    bench.store.injectFaults(...(row.faults ?? []));
    if (row.isFirstStopped) await first.stop();
    else if (!row.isFirstPaused) await first.renewOrAcquire();
    bench.nowMs = LEASE_MS;
    const granted = await second.renewOrAcquire();
    assert.equal(granted?.fencing, row.second);
    assert.equal(first.current()?.fencing, row.first);
  });
}

test('[orders] a holder stops before others may take the lease', async () => {
  const bench = new Bench();
  const first = bench.createKeeper('entry-1');
  const second = bench.createKeeper('entry-2');
  await first.renewOrAcquire();
  await second.renewOrAcquire();
  bench.nowMs = LEASE_MS - MARGIN_MS;
  assert.equal(first.current(), undefined);
  assert.equal(await second.renewOrAcquire(), undefined);
});

test('[orders] a paused holder that wakes learns of its successor', async () => {
  const bench = new Bench();
  const first = bench.createKeeper('entry-1');
  const second = bench.createKeeper('entry-2');
  await first.renewOrAcquire();
  await second.renewOrAcquire();
  bench.nowMs = LEASE_MS;
  await second.renewOrAcquire();
  assert.equal(await first.renewOrAcquire(), undefined);
  bench.nowMs = 2 * LEASE_MS;
  assert.equal((await first.renewOrAcquire())?.fencing, 3);
  assert.equal(await second.renewOrAcquire(), undefined);
});

test('[orders] after a lost grant the same process takes the lease anew', async () => {
  const bench = new Bench();
  const first = bench.createKeeper('entry-1');
  bench.store.injectFaults(
    ...[1, 2, 3].map(() => ({method: 'put', fault: 'answerLost'}) as const),
  );
  assert.equal(await first.renewOrAcquire(), undefined);
  assert.equal((await first.renewOrAcquire())?.fencing, 2);
});

test('[orders] the store is out beyond the lease: nobody acts, then one does', async () => {
  const bench = new Bench();
  const keepers = ['entry-1', 'entry-2', 'entry-3'].map(h =>
    bench.createKeeper(h),
  );
  await keepers[0].renewOrAcquire();
  bench.store.isDown = true;
  bench.nowMs = 5 * LEASE_MS;
  for (const keeper of keepers) {
    assert.equal(await keeper.renewOrAcquire(), undefined);
  }
  bench.store.isDown = false;
  const grants = await Promise.all(
    keepers.map(keeper => keeper.renewOrAcquire()),
  );
  assert.equal(grants.filter(grant => grant !== undefined).length, 1);
});
