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
  formatResponse,
  reserveClosedAddress,
  startTcpServer,
  type TcpServer,
} from '../support/tcp_server.js';

const transport = HttpTransport.create();

after(() => transport.close());

async function startServer(
  t: TestContext,
  onRequest: (socket: Socket, count: number) => void,
): Promise<TcpServer> {
  const server = await startTcpServer(onRequest);
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
  readonly onRequest: (socket: Socket) => void;
  readonly timeoutMs: number;
  readonly phase: RequestPhase;
  readonly failure: TransportFailure;
}

const PARTIAL_RESPONSE = 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc';

// prettier-ignore
const FAULT_CASES: readonly FaultCase[] = [
  {fault: 'closes after reading the request', onRequest: s => s.end(), timeoutMs: 2000, phase: 'sent', failure: 'cut'},
  {fault: 'resets after reading the request', onRequest: s => s.resetAndDestroy(), timeoutMs: 2000, phase: 'sent', failure: 'cut'},
  {fault: 'never responds', onRequest: () => {}, timeoutMs: 300, phase: 'sent', failure: 'timeout'},
  {fault: 'sends a response that is not HTTP', onRequest: s => s.end('hello\r\n\r\n'), timeoutMs: 2000, phase: 'sent', failure: 'cut'},
  {fault: 'closes in the middle of the body', onRequest: s => s.end(PARTIAL_RESPONSE), timeoutMs: 2000, phase: 'streaming', failure: 'cut'},
  {fault: 'stalls in the middle of the body', onRequest: s => s.write(PARTIAL_RESPONSE), timeoutMs: 300, phase: 'streaming', failure: 'timeout'},
];

for (const {fault, onRequest, timeoutMs, phase, failure} of FAULT_CASES) {
  test(`the peer ${fault}: ${phase}, ${failure}, written once`, async t => {
    const server = await startServer(t, onRequest);
    const request = {...createRequest(server.address), timeoutMs};
    await assertFails(transport.send(request), phase, failure);
    assert.equal(server.requestLines.length, 1);
  });
}

test('a request counts as unsent when the connection is refused', async () => {
  const address = await reserveClosedAddress();
  const sending = transport.send(createRequest(address));
  await assertFails(sending, 'beforeFirstByte', 'connect');
});

test('nothing is written when confirmSend returns false', async t => {
  const server = await startServer(t, () => {});
  const request = createRequest(server.address);
  const sending = transport.send({...request, confirmSend: () => false});
  await assertFails(sending, 'beforeFirstByte', 'withheld');
  assert.deepEqual(server.requestLines, []);
});

test('a request cancelled in the queue is never written', async t => {
  const single = HttpTransport.create({connectionsPerAddress: 1});
  t.after(() => single.close());
  const firstSocketEmitter = new EventEmitter();
  const firstSocketReady = once(firstSocketEmitter, 'socket') as Promise<
    [Socket]
  >;
  const server = await startServer(t, (socket, count) => {
    if (count === 1) firstSocketEmitter.emit('socket', socket);
    else socket.write(formatResponse(200, {count}));
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
  const [socket] = await firstSocketReady;
  socket.write(formatResponse(200, {}));
  await first;
  await single.send({...request, path: '/fourth'});
  assert.deepEqual(server.requestLines, [
    'POST /x HTTP/1.1',
    'POST /fourth HTTP/1.1',
  ]);
});

test('a request counts as sent when the peer closes its pooled connection', async t => {
  const server = await startServer(t, (socket, count) => {
    if (count === 1) socket.write(formatResponse(200, {}));
    else socket.destroy();
  });
  const request = createRequest(server.address);
  await transport.send(request);
  await assertFails(transport.send(request), 'sent', 'cut');
  assert.equal(server.requestLines.length, 2);
});

test('a response above the size limit fails', async t => {
  const server = await startServer(t, socket => {
    socket.write(formatResponse(200, {text: 'x'.repeat(100)}));
  });
  const request = createRequest(server.address);
  const sending = transport.send({...request, maxResponseBytes: 50});
  await assertFails(sending, 'streaming', 'tooLarge');
});

test('a slow reader pauses the connection and receives the complete body', async t => {
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

const UNFRAMED_RESPONSE = 'HTTP/1.1 200 OK\r\n\r\nabc';

// Guards against a reset that is taken for the end of a response.
test('a response without a length that is reset together with its bytes is cut', async t => {
  const server = await startServer(t, socket => {
    socket.write(UNFRAMED_RESPONSE);
    socket.resetAndDestroy();
  });
  const request = createRequest(server.address);
  await assertFails(transport.send(request), 'streaming', 'cut');
});

test('a response without a length ends with its connection', async t => {
  const server = await startServer(t, socket => socket.end(UNFRAMED_RESPONSE));
  const {body} = await transport.send(createRequest(server.address));
  assert.equal(body, 'abc');
});

test('a response is complete even if the peer closes before it is read', async t => {
  // The queue pauses the connection at this size, right after the last byte.
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

test('ending the iteration early closes the connection', async t => {
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
