// SIGTERM comes while clients hold connections that they have opened and not
// used yet; they send on them more than three seconds later.
import {connect} from 'node:net';
import {dirname, join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {sendEvents} from '../lib/runner.mjs';
import {HAS_TROUBLE, playCase} from '../lib/testbed.mjs';

const RECORD_FILE = join(dirname(fileURLToPath(import.meta.url)), 'record.txt');
/** So that a third of the machines is stopped. */
const OTHER_GATEWAYS = ['edge-2', 'edge-3'];
const CLIENTS = 4;
const OPEN_BEFORE_MS = 500;
/** The rule excuses requests that are sent up to 3 s after the signal. */
const SEND_AFTER_MS = 3400;
/** Five seconds of work, as long generations on the sheet take. */
const EVENTS = {count: 20, pauseMs: 250};
const LAST_CHUNK = '0\r\n\r\n';

/** A client that opens its connection before it has a request to send. */
function openConnection(port, id, record) {
  const client = {id, received: ''};
  client.socket = connect({host: '127.0.0.1', port});
  client.socket.setEncoding('latin1');
  client.socket.on('data', text => {
    client.received += text;
  });
  client.socket.on('error', error => record(`error ${id} ${error.code}`));
  client.closed = new Promise(resolve => {
    client.socket.once('close', () => {
      const isComplete = client.received.endsWith(LAST_CHUNK);
      record(`end   ${id} ${isComplete ? 'complete' : 'incomplete'}`);
      resolve();
    });
  });
  client.send = () => {
    if (!client.socket.writable) return;
    record(`send  ${id} POST /letter/a`);
    client.socket.write(
      'POST /letter/a HTTP/1.1\r\n' +
        'Host: desk.example\r\n' +
        'Authorization: Bearer key-1\r\n' +
        `Anvilrudder-Request-Id: ${id}\r\n` +
        'Anvilrudder-Deadline-Ms: 12000\r\n' +
        'Content-Length: 0\r\n' +
        'Connection: close\r\n\r\n',
    );
  };
  return client;
}

await playCase(RECORD_FILE, async testbed => {
  const {record} = testbed;
  await testbed.startStore();
  const quill = await testbed.startRunner({id: 'i-quill', service: 'quill'});
  quill.answer = answer => sendEvents(answer, EVENTS);
  const gateway = await testbed.startGateway('edge-1');
  for (const name of OTHER_GATEWAYS) await testbed.startGateway(name);
  await delay(4000);
  const clients = [];
  for (let n = 1; n <= CLIENTS; n += 1)
    clients.push(openConnection(gateway.callersPort, `letter-${n}`, record));
  await delay(OPEN_BEFORE_MS);
  if (HAS_TROUBLE) gateway.signal('SIGTERM');
  await delay(SEND_AFTER_MS);
  for (const client of clients) client.send();
  await Promise.all(clients.map(({closed}) => closed));
  const runIds = new Set(quill.runs.map(({requestId}) => requestId));
  return clients
    .filter(
      ({id, received}) => runIds.has(id) && !received.endsWith(LAST_CHUNK),
    )
    .map(({id}) => `LOST ${id}: passed on, ended without a complete answer`);
});
