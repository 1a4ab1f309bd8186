import assert from 'node:assert/strict';
import {EventEmitter, once} from 'node:events';
import type {Socket} from 'node:net';
import {after, test, type TestContext} from 'node:test';
import {
  HttpTransport,
  isTransportError,
  type HttpRequest,
  type RequestPhase,
  type TransportFailure,
} from '../../src/index.js';
import {
  formatAnswer,
  reserveClosedAddress,
  startTcpServer,
  type TcpServer,
} from '../support/tcp_server.js';

const transport = HttpTransport.create();

after(() => transport.close());

async function startServer(
  t: TestContext,
  onHead: (socket: Socket, count: number) => void,
): Promise<TcpServer> {
  const server = await startTcpServer(onHead);
  t.after(() => server.stop());
  return server;
}

function createRequest(address: string): HttpRequest {
  return {address, method: 'POST', path: '/x', body: '{}', timeoutMs: 2000};
}

async function assertFails(
  sending: Promise<unknown>,
  phase: RequestPhase,
  failure: TransportFailure,
): Promise<void> {
  await assert.rejects(sending, error => {
    assert.ok(isTransportError(error), String(error));
    assert.deepEqual([error.phase, error.failure], [phase, failure]);
    return true;
  });
}

interface FaultCase {
  readonly fault: string;
  readonly onHead: (socket: Socket) => void;
  readonly timeoutMs: number;
  readonly phase: RequestPhase;
  readonly failure: TransportFailure;
}

const HALF_ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc';

// prettier-ignore
const FAULT_CASES: readonly FaultCase[] = [
  {fault: 'closes after it read the request', onHead: s => s.end(), timeoutMs: 2000, phase: 'sent', failure: 'cut'},
  {fault: 'resets after it read the request', onHead: s => s.resetAndDestroy(), timeoutMs: 2000, phase: 'sent', failure: 'cut'},
  {fault: 'never answers', onHead: () => {}, timeoutMs: 300, phase: 'sent', failure: 'timeout'},
  {fault: 'answers what is not HTTP', onHead: s => s.end('hello\r\n\r\n'), timeoutMs: 2000, phase: 'sent', failure: 'cut'},
  {fault: 'closes within the body', onHead: s => s.end(HALF_ANSWER), timeoutMs: 2000, phase: 'streaming', failure: 'cut'},
  {fault: 'stalls within the body', onHead: s => s.write(HALF_ANSWER), timeoutMs: 300, phase: 'streaming', failure: 'timeout'},
];

for (const {fault, onHead, timeoutMs, phase, failure} of FAULT_CASES) {
  test(`the peer ${fault}: ${phase}, ${failure}, written once`, async t => {
    const server = await startServer(t, onHead);
    const request = {...createRequest(server.address), timeoutMs};
    await assertFails(transport.send(request), phase, failure);
    assert.equal(server.heads.length, 1);
  });
}

test('a refused connection is known to be unsent', async () => {
  const address = await reserveClosedAddress();
  const sending = transport.send(createRequest(address));
  await assertFails(sending, 'beforeFirstByte', 'connect');
});

test('a withheld request writes nothing', async t => {
  const server = await startServer(t, () => {});
  const request = createRequest(server.address);
  const sending = transport.send({...request, confirmSend: () => false});
  await assertFails(sending, 'beforeFirstByte', 'withheld');
  assert.deepEqual(server.heads, []);
});

test('a request given up in the queue is never written later', async t => {
  const single = HttpTransport.create({connectionsPerAddress: 1});
  t.after(() => single.close());
  const held = new EventEmitter();
  const holding = once(held, 'socket') as Promise<[Socket]>;
  const server = await startServer(t, (socket, count) => {
    if (count === 1) held.emit('socket', socket);
    else socket.write(formatAnswer(200, {count}));
  });
  const request = createRequest(server.address);
  const first = single.send(request);
  const abort = new AbortController();
  const second = single.send({
    ...request,
    path: '/second',
    signal: abort.signal,
  });
  const third = single.send({...request, path: '/third', timeoutMs: 10});
  abort.abort();
  await assertFails(second, 'beforeFirstByte', 'aborted');
  await assertFails(third, 'beforeFirstByte', 'timeout');
  const [socket] = await holding;
  socket.write(formatAnswer(200, {}));
  await first;
  await single.send({...request, path: '/fourth'});
  assert.deepEqual(server.heads, ['POST /x HTTP/1.1', 'POST /fourth HTTP/1.1']);
});

test('a request on a pooled connection that the peer closes counts as sent', async t => {
  const server = await startServer(t, (socket, count) => {
    if (count === 1) socket.write(formatAnswer(200, {}));
    else socket.destroy();
  });
  const request = createRequest(server.address);
  await transport.send(request);
  await assertFails(transport.send(request), 'sent', 'cut');
  assert.equal(server.heads.length, 2);
});

test('an answer above the limit is given up', async t => {
  const server = await startServer(t, socket => {
    socket.write(formatAnswer(200, {text: 'x'.repeat(100)}));
  });
  const request = createRequest(server.address);
  const sending = transport.send({...request, maxResponseBytes: 50});
  await assertFails(sending, 'streaming', 'tooLarge');
});

test('a slow reader pauses the connection and loses nothing', async t => {
  const sizeBytes = 4_000_000;
  const server = await startServer(t, socket => {
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${sizeBytes}\r\n\r\n`);
    socket.end(Buffer.alloc(sizeBytes));
  });
  const stream = await transport.open({
    ...createRequest(server.address),
    idleTimeoutMs: 1000,
  });
  let receivedBytes = 0;
  for await (const chunk of stream.chunks) {
    await new Promise(resolve => setImmediate(resolve));
    receivedBytes += chunk.length;
  }
  assert.equal(receivedBytes, sizeBytes);
});

test('an answer is whole though its peer closes before it is read', async t => {
  // The queue pauses the connection at this size, right behind the last byte.
  const sizeBytes = 64 * 1024;
  const sockets: Socket[] = [];
  const server = await startServer(t, socket => {
    sockets.push(socket);
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${sizeBytes}\r\n\r\n`);
    socket.end(Buffer.alloc(sizeBytes));
  });
  const stream = await transport.open(createRequest(server.address));
  const [socket] = sockets;
  if (!socket.closed) await once(socket, 'close');
  let receivedBytes = 0;
  for await (const chunk of stream.chunks) receivedBytes += chunk.length;
  assert.equal(receivedBytes, sizeBytes);
});

test('a reader that leaves ends the request', async t => {
  const closed = new Promise<void>(resolve => {
    void startServer(t, socket => {
      socket.once('close', () => resolve());
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc');
    }).then(async server => {
      const stream = await transport.open(createRequest(server.address));
      for await (const chunk of stream.chunks) {
        assert.equal(chunk.toString(), 'abc');
        break;
      }
    });
  });
  await closed;
});
