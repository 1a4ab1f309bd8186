// One answer of a runner arrives with a wrong bit in its status line.
import {Agent} from 'node:http';
import {dirname, join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {call} from '../lib/client.mjs';
import {createConfig, HAS_TROUBLE, playCase} from '../lib/testbed.mjs';

const RECORD_FILE = join(dirname(fileURLToPath(import.meta.url)), 'record.txt');
/** Of `pair-confirm` on the Penbridge sheet and in its site file. */
const TIMEOUT_MS = 800;
const DEADLINE_MS = 1500;
/** The rule: no answer half a second behind the route's timeout. */
const LATE_MS = TIMEOUT_MS + 500;
/** The rule asks for more than half; fewer than these would be an accident. */
const MIN_LATE = 4;
const GAP_MS = 60;
const CONFIRMATIONS = 80;
const CONNECTIONS = 32;
/** One of three runners garbles one answer in over fifty. */
const RUNNERS = 3;
const SOUND_LETTERS = 60;

function createCaseConfig() {
  const {routes, ...rest} = createConfig(1);
  return {
    ...rest,
    routes: routes.map(route =>
      route.name === 'confirm' ? {...route, timeoutMs: TIMEOUT_MS} : route,
    ),
  };
}

await playCase(RECORD_FILE, async testbed => {
  const {record} = testbed;
  await testbed.startStore(createCaseConfig());
  await testbed.startRunner({id: 'i-desk', service: 'desk'});
  const quills = [];
  for (let n = 1; n <= RUNNERS; n += 1) {
    const id = `i-quill-${n}`;
    quills.push(await testbed.startRunner({id, service: 'quill'}));
  }
  const gateway = await testbed.startGateway('edge-1');
  const port = gateway.callersPort;
  await delay(4000);
  const agent = new Agent({keepAlive: true, maxSockets: CONNECTIONS});
  const calls = [];
  const confirm = n =>
    call({
      port,
      id: `confirm-${n}`,
      path: '/confirm/a',
      body: `pairing ${n}`,
      deadlineMs: DEADLINE_MS,
      agent,
      record,
    });
  for (const quill of quills) {
    quill.answer = async ({run, stamp, response}) => {
      await delay(20);
      const isGarbled = HAS_TROUBLE && run.requestId === 'letter-garbled';
      // 0x32 ("2") with one bit changed is 0x30 ("0").
      const status = isGarbled ? '000' : '200';
      const body = 'id: 1\ndata: a\n\n';
      record(`answer ${run.requestId} with the status ${status}`);
      response.socket.write(
        `HTTP/1.1 ${status} OK\r\n` +
          `Anvilrudder-Request-Id: ${run.requestId}\r\n` +
          `Anvilrudder-Server-Stamp: ${stamp}\r\n` +
          'Content-Type: text/event-stream\r\n' +
          `Content-Length: ${body.length}\r\nConnection: close\r\n\r\n${body}`,
      );
      response.socket.end();
    };
  }
  const writeLetter = name =>
    call({
      port,
      id: `letter-${name}`,
      path: '/letter/a',
      deadlineMs: 12_000,
      headers: {
        'anvilrudder-model': 'm0',
        'anvilrudder-token-counts': '1000,60',
        'anvilrudder-prefix-hash': `aa:800,${name}:200`,
      },
      record,
    });
  for (let n = 1; n <= SOUND_LETTERS; n += 1) await writeLetter(n);
  for (let n = 1; n <= CONFIRMATIONS; n += 1) {
    calls.push(confirm(n));
    if (n === 10) void writeLetter('garbled');
    await delay(GAP_MS);
  }
  const outcomes = await Promise.all(calls);
  agent.destroy();
  const unanswered = outcomes.filter(({answerMs}) => answerMs > TIMEOUT_MS);
  const late = unanswered.filter(({answerMs}) => answerMs > LATE_MS);
  record(
    `${unanswered.length} of ${outcomes.length} had no answer at their ` +
      `route's timeoutMs, ${late.length} none half a second later`,
  );
  const isBroken =
    late.length >= MIN_LATE && late.length > unanswered.length / 2;
  return isBroken
    ? late.map(({id}) => `CONFIG ${id}: no answer ${LATE_MS} ms after it`)
    : [];
});
