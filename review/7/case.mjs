/**
 * A server that fails part of its requests while its health is good: it runs them
 * and answers 503, without the header that says that they have not run.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {connect, createServer} from 'node:net';
import {once} from 'node:events';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Gateway, killAll} from '../lib-2/gateway.mjs';
import {Store} from '../lib-2/store.mjs';

const HERE = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** Of the requests of one of three servers, as `srv_grey` of penbridge. */
const FAILING_SHARE = 0.45;
const SERVERS = 3;
const PAIRINGS = 400;
const CLIENTS = 8;
const WORK_MS = 15;
const DEADLINE_MS = 1500;
const MAX_RETRIES = 1;
const PROMISES = new Set([408, 421, 429, 503]);

const lines = [];
const record = text => {
  lines.push(`${(performance.now() / 1000).toFixed(2)} ${text}`);
};
/** Server and pairing of each request id that has run. */
const runs = new Map();
const folder = mkdtempSync(join(tmpdir(), 'bare-503-'));
let exitCode = 2;
try {
  exitCode = await play();
} catch (error) {
  record(`could not run: ${error.stack}`);
} finally {
  killAll();
  rmSync(folder, {recursive: true, force: true});
  writeFileSync(join(HERE, 'record.txt'), `${lines.join('\n')}\n`);
}
console.log(lines.slice(-4).join('\n'));
process.exit(exitCode);

/** Serves requests one after the other; the first server fails part of them. */
function serve(socket, server) {
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', async bytes => {
    text += bytes.toString('latin1');
    const end = text.indexOf('\r\n\r\n');
    if (end < 0) return;
    const length = Number(/content-length: (\d+)/i.exec(text)?.[1] ?? 0);
    if (text.length < end + 4 + length) return;
    const id = /request-id: (\S+)/i.exec(text)[1];
    const pairing = text.slice(end + 4, end + 4 + length);
    text = text.slice(end + 4 + length);
    runs.set(id, {server: server.id, pairing});
    server.count += 1;
    await sleep(WORK_MS);
    const isFailing =
      HAS_TROUBLE &&
      server.isGrey &&
      Math.floor(server.count * FAILING_SHARE) >
        Math.floor((server.count - 1) * FAILING_SHARE);
    const status = isFailing ? '503 Service Unavailable' : '200 OK';
    const body = isFailing ? 'the confirmation could not be sent' : 'paired';
    socket.write(
      `HTTP/1.1 ${status}\r\n` +
        `Anvilrudder-Request-Id: ${id}\r\n` +
        `Anvilrudder-Server-Stamp: ${server.id}.${id}\r\n` +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
  });
}

async function play() {
  const store = await Store.start();
  for (let index = 0; index < SERVERS; index += 1) {
    const server = {id: `i-${index}`, isGrey: index === 0, count: 0};
    const listener = createServer(socket => serve(socket, server));
    listener.listen(0, '127.0.0.1');
    await once(listener, 'listening');
    store.put('servers', server.id, {
      service: 'matchdesk',
      address: `127.0.0.1:${listener.address().port}`,
      zone: 'kr-a',
      version: 'v1',
      slots: 6,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: 1,
    });
  }
  configure(store);
  const gateway = await Gateway.create(folder, {
    name: 'e1',
    zone: 'kr-a',
    store: store.address,
  });
  gateway.start();
  await gateway.ready();
  let refused = 0;
  const client = async first => {
    for (let index = first; index < PAIRINGS; index += CLIENTS) {
      const count = await confirm(gateway, `pairing-${index}`);
      refused += count;
    }
  };
  await Promise.all(Array.from({length: CLIENTS}, (_, first) => client(first)));
  const perPairing = new Map();
  for (const {pairing} of runs.values())
    perPairing.set(pairing, (perPairing.get(pairing) ?? 0) + 1);
  const repeated = [...perPairing.values()].filter(count => count > 1).length;
  record(`${PAIRINGS} pairings confirmed, ${runs.size} requests have run`);
  record(`pairings that ran more than once: ${repeated}`);
  record(`answered with a promise and have run: ${refused}, allowed 0`);
  return refused > 0 ? 1 : 0;
}

/** A client: it repeats an unsafe request only after a promise, with a new id. */
async function confirm(gateway, pairing) {
  let refused = 0;
  for (let attempt = 0; attempt <= MAX_RETRIES; attempt += 1) {
    const id = `${pairing}.${attempt}`;
    const status = await ask(gateway, id, pairing);
    const run = runs.get(id);
    record(
      `${id}: answered ${status}, ${run ? `ran at ${run.server}` : 'not run'}`,
    );
    if (!PROMISES.has(status)) return refused;
    if (run !== undefined) refused += 1;
  }
  return refused;
}

function ask(gateway, id, body) {
  return new Promise(resolve => {
    const socket = connect(gateway.port, '127.0.0.1');
    let text = '';
    socket.on('error', () => undefined);
    socket.on('data', bytes => (text += bytes.toString('latin1')));
    socket.on('close', () => resolve(Number(text.slice(9, 12))));
    socket.write(
      'POST /pair/confirm HTTP/1.1\r\nHost: a.example\r\n' +
        `Anvilrudder-Request-Id: ${id}\r\n` +
        `Anvilrudder-Deadline-Ms: ${DEADLINE_MS}\r\n` +
        'Authorization: Bearer k1\r\nConnection: close\r\n' +
        `Content-Length: ${body.length}\r\n\r\n${body}`,
    );
  });
}

function configure(store) {
  store.put('config', 'main', {
    version: 1,
    routes: [
      {
        name: 'pair-confirm',
        hostname: 'a.example',
        pathPrefix: '/pair/',
        kind: 'unsafe',
        timeoutMs: DEADLINE_MS,
        targetLatencyMs: 121,
        priority: 2,
        service: 'matchdesk',
        maxAttempts: 3,
        public: false,
      },
    ],
    services: [{name: 'matchdesk', healthPath: '/healthz', maxConnections: 96}],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 't1', apiKeys: ['k1'], priority: 1}],
  });
}
