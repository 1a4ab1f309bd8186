// Measures the processor time of one gateway process that serves requests on the
// loopback address, beside the datagrams of other hosts. The store, the servers and
// the other hosts are stand-ins in this process.
//
// Usage: node scripts/bench_gateway.mjs [--servers N] [--hosts N] [--rate N]
//   [--seconds N] [--set NAME=VALUE ...] [--prof DIRECTORY]
import {spawn} from 'node:child_process';
import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {Agent, get, request as sendRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {clearInterval, setInterval} from 'node:timers';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';
import {parseArgs} from 'node:util';
import {
  BackendServerStandIn,
  formatEvent,
  writeChunk,
  writeResponse,
  writeStreamHead,
} from '../platform/dist/test/support/backend_server_stand_in.js';
import {
  createTemplateValues,
  fillTemplate,
  findGatewayPorts,
} from '../platform/dist/test/support/settings_text.js';
import {StoreStandIn} from '../platform/dist/test/support/store_stand_in.js';
import {
  API_KEY,
  createConfig,
  HOST_NAME,
} from '../platform/dist/test/support/test_config.js';

const MAIN_FILE = fileURLToPath(
  new URL('../platform/dist/src/main.js', import.meta.url),
);
const DEPLOYED_NODE_OPTIONS = [
  '--max-old-space-size=160',
  '--max-semi-space-size=4',
];
const WARM_UP_S = 6;
const READY_TIMEOUT_S = 20;
const TICKS_PER_S = 100;
const PLAIN_SHARE = 0.2;
const EVENT_COUNT = 20;
const PREFILL_MS = 80;
const EVENT_INTERVAL_MS = 15;
const LOW_CONFIDENCE_SHARE = 0.15;

const {values: args} = parseArgs({
  options: {
    servers: {type: 'string', default: '63'},
    hosts: {type: 'string', default: '62'},
    rate: {type: 'string', default: '40'},
    /** Datagrams a second of each other host. */
    datagrams: {type: 'string', default: '5'},
    seconds: {type: 'string', default: '15'},
    set: {type: 'string', multiple: true, default: []},
    prof: {type: 'string'},
  },
});
const serverCount = Number(args.servers);
const hostCount = Number(args.hosts);
const ratePerS = Number(args.rate);
const durationS = Number(args.seconds);

function readCpuS(pid) {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_S;
}

async function writeStream(received) {
  await delay(PREFILL_MS);
  const isSure = Math.random() > LOW_CONFIDENCE_SHARE;
  writeStreamHead(received, {'Anvilrudder-Confidence': isSure ? '95' : '20'});
  for (let id = 1; id <= EVENT_COUNT; id += 1) {
    if (received.socket.destroyed) return;
    writeChunk(received, formatEvent(id));
    await delay(EVENT_INTERVAL_MS);
  }
  received.socket.write('0\r\n\r\n');
}

async function startServers(store) {
  const servers = [];
  for (let index = 0; index < serverCount; index += 1) {
    const service = index % 20 === 19 ? 'app' : 'engine';
    const id = `i-${index.toString(16).padStart(10, '0')}`;
    const server = await BackendServerStandIn.start(id, received => {
      if (service === 'app') writeResponse(received, 200, 'x'.repeat(500));
      else void writeStream(received);
    });
    store.put('servers', id, {
      service,
      address: server.address,
      zone: 'abcd'[index % 4],
      version: 'v1',
      slots: 24,
      state: 'ready',
    });
    servers.push(server);
  }
  return servers;
}

async function startHosts(store) {
  const sockets = [];
  for (let index = 1; index < hostCount; index += 1) {
    const socket = createSocket('udp4');
    socket.bind(0, '127.0.0.1');
    await once(socket, 'listening');
    socket.on('message', () => undefined);
    const address = `127.0.0.1:${socket.address().port}`;
    store.put('gateways', `other-${index}`, {
      address,
      failureDomain: 'abcd'[index % 4],
      startedAtMs: 1,
    });
    sockets.push(socket);
  }
  return sockets;
}

function createParts(index) {
  return [
    'system-prompt:400',
    `prefix-${Math.floor(Math.random() * 300)}:3000`,
    `own-${index}:500`,
  ].join(',');
}

const agent = new Agent({keepAlive: true, maxSockets: 64});
const statuses = {};

function call(port, index) {
  const isPlain = Math.random() < PLAIN_SHARE;
  const request = sendRequest({
    agent,
    host: '127.0.0.1',
    port,
    method: isPlain ? 'GET' : 'POST',
    path: isPlain ? '/read/a' : '/chat/a',
    headers: {
      host: HOST_NAME,
      authorization: `Bearer ${API_KEY}`,
      'anvilrudder-request-id': `r${index}`,
      'anvilrudder-deadline-ms': '5000',
      ...(isPlain
        ? {}
        : {
            'anvilrudder-model': '*',
            'anvilrudder-token-counts': '3900,100',
            'anvilrudder-prefix-hash': createParts(index),
          }),
    },
  });
  request.on('response', response => {
    statuses[response.statusCode] = (statuses[response.statusCode] ?? 0) + 1;
    response.resume();
  });
  request.on('error', () => (statuses.error = (statuses.error ?? 0) + 1));
  request.end(isPlain ? undefined : 'x'.repeat(2000));
}

async function waitUntilReady(port) {
  for (let wait = 0; wait < READY_TIMEOUT_S * 10; wait += 1) {
    await delay(100);
    try {
      const options = {host: '127.0.0.1', port, path: '/readyz'};
      const [response] = await once(get(options), 'response');
      response.resume();
      if (response.statusCode === 200) return;
    } catch {
      // It does not listen yet.
    }
  }
  throw new Error('The gateway is not ready.');
}

function sendDatagram(sockets, ids, port) {
  const socket = sockets[Math.floor(Math.random() * sockets.length)];
  const id = ids[Math.floor(Math.random() * ids.length)];
  const parts = createParts(Math.floor(Math.random() * 1e9));
  if (socket === undefined) return;
  socket.send(`w2 ${id} 70 small ${parts}`, port, '127.0.0.1');
}

const store = await StoreStandIn.start();
store.put('config', 'main', createConfig(1));
const servers = await startServers(store);
const sockets = await startHosts(store);
const ports = await findGatewayPorts();
const directory = mkdtempSync(join(tmpdir(), 'bench-'));
const settingsFile = join(directory, 'settings.yaml');
let settings = fillTemplate(createTemplateValues(store.address, ports));
for (const entry of args.set) {
  const [name, value] = entry.split('=');
  settings = settings.replace(
    new RegExp(`^( *)${name}:.*$`, 'm'),
    `$1${name}: ${value}`,
  );
}
writeFileSync(settingsFile, settings);
const profiling =
  args.prof === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${args.prof}`];
const child = spawn(
  process.execPath,
  [...DEPLOYED_NODE_OPTIONS, ...profiling, MAIN_FILE],
  {env: {...process.env, ANVILRUDDER_BOOT: settingsFile}},
);
child.stdout.resume();
child.stderr.pipe(process.stderr);
await waitUntilReady(ports.readiness);

const ids = servers.map(({id}) => id);
let sent = 0;
const requestTimer = setInterval(
  () => call(ports.callers, (sent += 1)),
  1000 / ratePerS,
);
const datagramsPerS = sockets.length * Number(args.datagrams);
let datagrams = 0;
const datagramTimer = setInterval(() => {
  for (let count = 0; count < datagramsPerS / 100; count += 1) {
    sendDatagram(sockets, ids, ports.hosts);
    datagrams += 1;
  }
}, 10);
await delay(WARM_UP_S * 1000);
const [sentBefore, datagramsBefore] = [sent, datagrams];
const cpuBeforeS = readCpuS(child.pid);
await delay(durationS * 1000);
const cpuS = readCpuS(child.pid) - cpuBeforeS;
clearInterval(requestTimer);
clearInterval(datagramTimer);
console.log(
  `${serverCount} servers, ${hostCount} hosts: ` +
    `${((sent - sentBefore) / durationS).toFixed(1)} requests/s, ` +
    `${((datagrams - datagramsBefore) / durationS).toFixed(0)} datagrams/s, ` +
    `${(cpuS / durationS).toFixed(3)} cores, answers ${JSON.stringify(statuses)}`,
);
child.kill('SIGTERM');
await once(child, 'exit');
for (const socket of sockets) socket.close();
for (const server of servers) server.stop();
agent.destroy();
await store.stop();
rmSync(directory, {recursive: true});
process.exit(0);
