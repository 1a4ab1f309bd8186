// Measures the processor time of decisions and of datagrams of other hosts at one
// host, for several numbers of servers. Prints the median and the 99th percentile
// of batches, in microseconds for one call.
//
// Usage: node scripts/bench_placement.mjs
import {performance} from 'node:perf_hooks';
import {
  chooseServer,
  createRandom,
  PrefillTimeEstimator,
  ServerTable,
} from '../packages/core/dist/src/index.js';

const SERVER_COUNTS = [42, 63, 160];
const HOST_COUNT = 62;
const BATCH_COUNT = 200;
const BATCH_SIZE = 100;
const WARM_UP_BATCHES = 40;
const US_PER_MS = 1000;
/** Interval between two decisions, by the clock of the played host. */
const REQUEST_INTERVAL_MS = 0.1;
const MODELS = ['small', 'middle', 'large'];

function createTable(serverCount, random) {
  const table = ServerTable.create();
  for (let index = 0; index < serverCount; index += 1) {
    table.put({
      id: `i-${index.toString(16).padStart(10, '0')}`,
      service: 'engine',
      address: `10.0.0.${index}:80`,
      failureDomain: `domain-${index % 4}`,
      softwareVersion: 'v1',
      slots: 24,
      isLeaving: false,
    });
  }
  table.setKvCacheTokens('engine', 400_000);
  for (const id of table.listIds()) {
    for (let count = 0; count < 40; count += 1) {
      const prefix = `prefix-${Math.floor(random() * 300)}`;
      const parts = createParts(prefix, `own-${count}`);
      table.recordRemoteWork(
        {serverId: id, workMs: 50, model: 'small', parts},
        0,
      );
    }
    if (random() < 0.5) table.recordPace?.({serverId: id, logPace: 0.3}, 0);
  }
  return table;
}

function createParts(prefix, own) {
  return [
    {id: 'system-prompt-of-the-kind', tokens: 400},
    {id: prefix, tokens: 3000},
    {id: own, tokens: 500},
  ];
}

function createGeneration(prefix, index) {
  const parts = createParts(prefix, `own-${index}`);
  const demand = {
    model: undefined,
    promptTokens: 3900,
    maxOutputTokens: 100,
    parts,
  };
  return {model: MODELS[0], demand, prefillMsPerToken: 0.02};
}

const CASES = {
  'prefix cached at some servers': (index, random) =>
    createGeneration(`prefix-${Math.floor(random() * 300)}`, index),
  'prefix cached nowhere': index => {
    const generation = createGeneration(`unknown-${index}`, index);
    const parts = generation.demand.parts.slice(1);
    return {...generation, demand: {...generation.demand, parts}};
  },
  'no generation': () => undefined,
};

function measure(run) {
  const samplesUs = [];
  for (let batch = 0; batch < BATCH_COUNT; batch += 1) {
    const startMs = performance.now();
    for (let call = 0; call < BATCH_SIZE; call += 1)
      run(batch * BATCH_SIZE + call);
    const elapsedMs = performance.now() - startMs;
    if (batch >= WARM_UP_BATCHES)
      samplesUs.push((elapsedMs * US_PER_MS) / BATCH_SIZE);
  }
  samplesUs.sort((a, b) => a - b);
  const median = samplesUs[Math.floor(samplesUs.length / 2)];
  const p99 = samplesUs[Math.floor(samplesUs.length * 0.99)];
  return `${median.toFixed(1)} / ${p99.toFixed(1)}`;
}

function measureChoice(serverCount, createCase, options) {
  const random = createRandom(1);
  const table = createTable(serverCount, random);
  const estimator = PrefillTimeEstimator.create({initialMsPerToken: 0.02});
  estimator.observe('small', 1000, 20);
  return measure(index =>
    chooseServer({
      candidates: table.list('engine'),
      failureDomain: 'domain-0',
      hostCount: HOST_COUNT,
      crossDomainCostMs: 8,
      generation: createCase(index, random),
      nowMs: index * REQUEST_INTERVAL_MS,
      random,
      ...options,
    }),
  );
}

function measureUpdate(serverCount) {
  const random = createRandom(1);
  const table = createTable(serverCount, random);
  const ids = table.listIds();
  return measure(index => {
    const prefix = `prefix-${Math.floor(random() * 300)}`;
    const parts = createParts(prefix, `own-${index}`);
    const serverId = ids[index % ids.length];
    table.recordRemoteWork(
      {serverId, workMs: 50, model: 'small', parts},
      index,
    );
  });
}

const VARIANTS = {
  'all servers': {},
  'sampled servers': {sampledServerCount: 2},
};

for (const serverCount of SERVER_COUNTS) {
  for (const [variant, options] of Object.entries(VARIANTS)) {
    for (const [name, createCase] of Object.entries(CASES)) {
      const time = measureChoice(serverCount, createCase, options);
      console.log(`${serverCount} servers, ${variant}, ${name}: ${time} us`);
    }
  }
  console.log(
    `${serverCount} servers, update: ${measureUpdate(serverCount)} us`,
  );
}
