import {HttpEngineClient} from '@anvilrudder/clients';
import {
  fitColumns,
  type CapacityCommand,
  type CapacityOptions,
  type CapacityReport,
  type Row,
} from './capacity_report.js';
import {startLoopbackServer} from './loopback_server.js';
import {pauseMs, readCpuUs} from './usage_meter.js';

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

/** Asks every server for its load once a period, as an entry does. */
async function measureServers(
  servers: number,
  {isSmall}: CapacityOptions,
): Promise<Row> {
  const stands = await Promise.all(
    Array.from({length: servers}, () =>
      startLoopbackServer((request, response) => {
        request.resume();
        response.setHeader('content-type', 'application/json');
        response.end(LOAD_REPORT);
      }),
    ),
  );
  const client = HttpEngineClient.create();
  const readAll = () =>
    Promise.all(stands.map(({address}) => client.load(address)));
  await readAll();
  const sumBytes = () =>
    stands
      .map(stand => stand.readTraffic())
      .reduce((sum, t) => sum + t.bytesReceived + t.bytesSent, 0);
  const bytesBefore = sumBytes();
  const cpuBefore = process.cpuUsage();
  for (let round = 0; round < ROUND_COUNT; round++) {
    await pauseMs(isSmall ? SMALL_PERIOD_MS : PERIOD_MS);
    await readAll();
  }
  const cpuUs = readCpuUs(cpuBefore);
  const bytes = sumBytes() - bytesBefore;
  await client.close();
  for (const stand of stands) stand.stop();
  return {
    servers,
    hostListBytes: createHostList(servers).length,
    bytesPerRound: bytes / ROUND_COUNT,
    cpuMsPerRound: cpuUs / 1000 / ROUND_COUNT,
    bytesPerReport: bytes / ROUND_COUNT / servers,
    cpuUsPerReport: cpuUs / ROUND_COUNT / servers,
  };
}

function createHostList(servers: number): string {
  const hosts = Array.from({length: servers}, (_, index) => ({
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
  // The first run pays for compilation and is not kept.
  await measureServers(SMALL_SERVER_COUNTS[0], options);
  if (!options.isSmall) await measureServers(SERVER_COUNTS[1], options);
  const counts = options.isSmall ? SMALL_SERVER_COUNTS : SERVER_COUNTS;
  for (const servers of counts) {
    rows.push(await measureServers(servers, options));
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

/** Cost of reading the load reports of all servers in each period. */
export const CAPACITY_LOAD_REPORTS: CapacityCommand = {
  name: 'capacity-load-reports',
  description: 'cost of reading load reports, by servers; both ends counted',
  run,
};
