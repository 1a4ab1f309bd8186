import assert from 'node:assert/strict';
import {test} from 'node:test';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {startEngineStandIn} from '@anvilrudder/stand-ins';
import {
  DEFAULT_LOAD_OPTIONS,
  checkBookings,
  generateArrivalTimes,
  findOptionIssues,
  isCorrect,
  runLoad,
  runLoadWithTarget,
  type LoadOptions,
  type Outcome,
  type Target,
} from '../../src/index.js';
import {Workload} from '../../src/workload/workload.js';

const SEED = 11;
const OPTIONS: LoadOptions = {
  ...DEFAULT_LOAD_OPTIONS,
  targets: ['http://127.0.0.1:1'],
  arrivals: 'constant',
  ratePerS: 200,
  durationMs: 100,
};
const ARRIVAL_COUNT = 20;
const OK: Outcome = {code: 'ok', execution: 'ran', tokenCount: 0};

function createRandomSource(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

function createTarget(generate: Target['generate']): Target {
  return {
    generate,
    confirm: () => Promise.resolve(OK),
    close: () => Promise.resolve(),
  };
}

test(`arrivals have the requested rate and are the same for the same seed (seed ${SEED})`, () => {
  const draw = () => [
    ...generateArrivalTimes('poisson', 100, 60_000, createRandomSource(SEED)),
  ];
  const arrivals = draw();
  assert.deepEqual(draw(), arrivals);
  assert.ok(Math.abs(arrivals.length - 6000) < 400, String(arrivals.length));
  assert.deepEqual(
    [...generateArrivalTimes('constant', 10, 300, Math.random)],
    [0, 100, 200],
  );
});

test('the same seed gives the same requests, with the requested shares', () => {
  const options: LoadOptions = {
    ...OPTIONS,
    kinds: [
      {kind: 'a', weight: 3},
      {kind: 'b', weight: 1},
    ],
    confirmShare: 0.2,
    repeatShare: 0.5,
  };
  const draw = () => {
    const workload = Workload.create(options, createRandomSource(SEED), 'run');
    return Array.from({length: 2000}, () => workload.next());
  };
  const requests = draw();
  assert.deepEqual(draw(), requests);
  const share = (isCounted: (request: (typeof requests)[0]) => boolean) =>
    requests.filter(isCounted).length / requests.length;
  assert.ok(Math.abs(share(r => r.type === 'confirmation') - 0.2) < 0.04);
  assert.ok(Math.abs(share(r => r.kind === 'a') - 0.6) < 0.05);
  assert.ok(
    Math.abs(share(r => r.type === 'confirmation' && r.copies > 1) - 0.1) <
      0.03,
  );
});

test('sends requests whether or not earlier ones have ended', async () => {
  let open = 0;
  let release = () => {};
  const released = new Promise<void>(resolve => (release = resolve));
  const target = createTarget(async () => {
    open += 1;
    if (open === ARRIVAL_COUNT) release();
    await released;
    return OK;
  });
  const report = await runLoadWithTarget(target, OPTIONS);
  assert.equal(report.measurement.sent, ARRIVAL_COUNT);
  assert.equal(report.measurement.ok, ARRIVAL_COUNT);
});

test('counts arrivals above maxInFlight as skipped', async () => {
  const target = createTarget(async () => {
    await new Promise(resolve => setTimeout(resolve, OPTIONS.durationMs));
    return OK;
  });
  const report = await runLoadWithTarget(target, {...OPTIONS, maxInFlight: 3});
  const {sent, skipped} = report.measurement;
  assert.equal(sent + skipped, ARRIVAL_COUNT);
  assert.ok(skipped > 0);
});

test('latency is measured from the intended send time and includes a stall of the load tool', async () => {
  const stallMs = 50;
  let isFirst = true;
  const target = createTarget(() => {
    const endMs = performance.now() + (isFirst ? stallMs : 0);
    isFirst = false;
    while (performance.now() < endMs);
    return Promise.resolve(OK);
  });
  const {measurement} = await runLoadWithTarget(target, OPTIONS);
  const {whole, sendLag} = measurement.latencies;
  assert.equal(whole.count, ARRIVAL_COUNT);
  // The arrivals at 5, 10, … 20 ms are sent only after the stall.
  assert.ok(sendLag.p90Ms >= stallMs / 2, String(sendLag.p90Ms));
  assert.ok(whole.p90Ms >= sendLag.p90Ms);
});

test('checks each response in a run against engines', async t => {
  const loaded = [{model: 'quick', version: 'v1'}];
  const engine = await startEngineStandIn({loaded, queueLimit: 1000});
  t.after(() => engine.stop());
  const options = {
    ...OPTIONS,
    targets: [`http://${engine.address}`],
    isDirect: true,
  };
  const report = await runLoad(options);
  assert.deepEqual(report.measurement.byVerdict, {whole: ARRIVAL_COUNT});
  assert.equal(isCorrect(report), true);
  engine.setFaults({cutAfterTokens: 3});
  const cut = await runLoad(options);
  assert.deepEqual(cut.measurement.byCode, {client_cut: ARRIVAL_COUNT});
  assert.deepEqual(cut.measurement.byExecution, {unknown: ARRIVAL_COUNT});
});

test('rejects options out of range and addresses that are not loopback', async () => {
  const rows: ReadonlyArray<Partial<LoadOptions>> = [
    {targets: []},
    {targets: ['http://10.0.0.1:80']},
    {targets: ['http://example.org']},
    {targets: ['https://127.0.0.1:1']},
    {targets: ['127.0.0.1:1']},
    {bookingAddress: '10.0.0.1:80'},
    {ratePerS: 0},
    {durationMs: 3_600_001},
    {ratePerS: 100_000, durationMs: 60_000},
    {confirmShare: 2},
    {isDirect: true, confirmShare: 0.1},
    {kinds: []},
    {callerKeys: []},
  ];
  assert.deepEqual(findOptionIssues(OPTIONS), []);
  for (const row of rows) {
    const faults = findOptionIssues({...OPTIONS, ...row});
    assert.equal(faults.length, 1, JSON.stringify(row));
    await assert.rejects(runLoad({...OPTIONS, ...row}));
  }
});

test('compares executed bookings with the execution states reported to callers', () => {
  const records = [
    {idempotencyKey: 'once', executions: ['ran', 'ran']},
    {idempotencyKey: 'twice', executions: ['ran']},
    {idempotencyKey: 'denied', executions: ['notRun', 'notRun']},
    {idempotencyKey: 'lost', executions: ['ran']},
    {idempotencyKey: 'open', executions: ['unknown', 'notRun']},
  ] as const;
  const executions = new Map([
    ['once', 1],
    ['twice', 2],
    ['denied', 1],
    ['open', 1],
  ]);
  assert.deepEqual(checkBookings(records, executions), {
    checked: 5,
    repeated: ['twice'],
    ranThoughNotRun: ['denied'],
    missing: ['lost'],
  });
});
