import {HttpEngineClient} from '@anvilrudder/clients';
import {
  fitColumns,
  type CapacityCommand,
  type CapacityOptions,
  type CapacityReport,
  type Row,
} from './capacity_report.js';
import {startLoopbackServer} from './loopback_server.js';
import {readCpuUs, sleepMs} from './usage_meter.js';

const SERVER_COUNTS: readonly number[] = [8, 32, 128];
const SMALL_SERVER_COUNTS: readonly number[] = [2];
const ROUND_COUNT = 6;
const PERIOD_MS = 1000;
const SMALL_PERIOD_MS = 20;
const TARGET_SERVERS = 2600;
const LOAD_REPORT = JSON.stringify({
  running: 5,
  queued: 1,
  slots: 8,
  loaded: [
    {model: 'quick', version: 'v3'},
    {model: 'deep', version: 'v7'},
  ],
  cachedPrefixes: 214,
  isDraining: false,
  reportAgeMs: 850,
});

/** Reads the load report of every server once per period, as an entry does. */
async function measureServers(
  serverCount: number,
  {isSmall}: CapacityOptions,
): Promise<Row> {
  const fakeServers = await Promise.all(
    Array.from({length: serverCount}, () =>
      startLoopbackServer((request, response) => {
        request.resume();
        response.setHeader('content-type', 'application/json');
        response.end(LOAD_REPORT);
      }),
    ),
  );
  const client = HttpEngineClient.create();
  const readAllReports = () =>
    Promise.all(fakeServers.map(({address}) => client.load(address)));
  await readAllReports();
  const sumBytes = () =>
    fakeServers
      .map(server => server.readTraffic())
      .reduce((sum, t) => sum + t.bytesReceived + t.bytesSent, 0);
  const bytesBefore = sumBytes();
  const cpuBefore = process.cpuUsage();
  for (let round = 0; round < ROUND_COUNT; round++) {
    await sleepMs(isSmall ? SMALL_PERIOD_MS : PERIOD_MS);
    await readAllReports();
  }
  const cpuUs = readCpuUs(cpuBefore);
  const bytes = sumBytes() - bytesBefore;
  await client.close();
  for (const server of fakeServers) server.stop();
  return {
    servers: serverCount,
    hostListBytes: createHostList(serverCount).length,
    bytesPerRound: bytes / ROUND_COUNT,
    cpuMsPerRound: cpuUs / 1000 / ROUND_COUNT,
    bytesPerReport: bytes / ROUND_COUNT / serverCount,
    cpuUsPerReport: cpuUs / ROUND_COUNT / serverCount,
  };
}

function createHostList(serverCount: number): string {
  const hosts = Array.from({length: serverCount}, (_, index) => ({
    host: `runner-${index}`,
    role: 'engine',
    address: `10.2.${index >> 8}.${index & 255}:8000`,
    failureDomain: `domain-${index % 4}`,
    state: 'live',
  }));
  return JSON.stringify({hosts});
}

async function run(options: CapacityOptions): Promise<CapacityReport> {
  const rows: Row[] = [];
  // The first runs include JIT compilation, so their results are discarded.
  await measureServers(SMALL_SERVER_COUNTS[0], options);
  if (!options.isSmall) await measureServers(SERVER_COUNTS[1], options);
  const serverCounts = options.isSmall ? SMALL_SERVER_COUNTS : SERVER_COUNTS;
  for (const serverCount of serverCounts) {
    rows.push(await measureServers(serverCount, options));
  }
  return {
    name: CAPACITY_LOAD_REPORTS.name,
    seed: options.seed,
    rows,
    fits: fitColumns(
      rows,
      'servers',
      ['hostListBytes', 'bytesPerRound', 'cpuMsPerRound'],
      TARGET_SERVERS,
    ),
  };
}

/** Measures the cost of reading the load reports of all servers. */
export const CAPACITY_LOAD_REPORTS: CapacityCommand = {
  name: 'capacity-load-reports',
  description:
    'cost of reading load reports at client and servers, by number of servers',
  run,
};
