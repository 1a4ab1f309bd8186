import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  ConnectionPool,
  isTransportError,
  type HttpStream,
} from '@anvilrudder/clients';

const UNFRAMED_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n';
const FRAMED_HEAD = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n';
const HALF_BODY = 'half';
/** More than the buffers of a connection take. */
const UNSENT_REQUEST_BYTES = 8_000_000;
/** The buffers of a connection take it, though its server doesn't read it. */
const UNREAD_REQUEST_BYTES = 1_000_000;
const RUNS = 10;

/** Starts a server that answers each connection before its request is in. */
async function startServer(
  t: TestContext,
  answer: (socket: Socket) => void,
): Promise<ConnectionPool> {
  const sockets = new Set<Socket>();
  const server = createServer({allowHalfOpen: true}, socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    answer(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const pool = ConnectionPool.create({
    address: `127.0.0.1:${port}`,
    maxConnections: 2,
  });
  t.after(() => {
    pool.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return pool;
}

function send(pool: ConnectionPool, bodyBytes: number): Promise<HttpStream> {
  return pool.open({
    method: 'POST',
    path: '/',
    headers: {},
    body: Buffer.alloc(bodyBytes, 'a'),
    maxIdleMs: 1000,
    timeoutMs: 3000,
  });
}

/** Reads a response; 'whole' if it ended as one that is complete. */
async function readEnd(
  pool: ConnectionPool,
  requestBytes = UNSENT_REQUEST_BYTES,
): Promise<string> {
  try {
    const {chunks} = await send(pool, requestBytes);
    for await (const chunk of chunks) void chunk;
    return 'whole';
  } catch (error) {
    assert.ok(isTransportError(error));
    return error.failure;
  }
}

for (const reads of [false, true]) {
  for (const delayMs of [0, 1, 8]) {
    // Guards against a reset that is taken for an end while the request is unsent.
    test(`an answer without a length that is reset ${delayMs} ms later, before its request ${reads ? 'is in' : 'is read'}, is not whole`, async t => {
      const pool = await startServer(t, socket => {
        if (reads) socket.resume();
        else socket.pause();
        socket.write(UNFRAMED_HEAD + HALF_BODY, () => {
          setTimeout(() => socket.resetAndDestroy(), delayMs);
        });
      });
      for (let run = 0; run < RUNS; run += 1)
        assert.notEqual(await readEnd(pool), 'whole');
    });
  }
}

for (const delayMs of [0, 1, 5]) {
  // Guards against an end in order that hides the reset behind it: the server has
  // left bytes of the request unread.
  test(`an answer without a length that ends in order and is reset ${delayMs} ms later, as its request is unread, is not whole`, async t => {
    const pool = await startServer(t, socket => {
      socket.once('data', () => {
        socket.pause();
        socket.end(UNFRAMED_HEAD + HALF_BODY, () => {
          setTimeout(() => socket.resetAndDestroy(), delayMs);
        });
      });
    });
    for (let run = 0; run < RUNS; run += 1)
      assert.equal(await readEnd(pool, UNREAD_REQUEST_BYTES), 'cut');
  });
}

test('an answer without a length is whole if its server has read the request and closes in order', async t => {
  let receivedBytes = 0;
  const pool = await startServer(t, socket => {
    socket.on('data', bytes => {
      receivedBytes += bytes.length;
      if (receivedBytes >= UNREAD_REQUEST_BYTES) {
        socket.end(UNFRAMED_HEAD + HALF_BODY);
        receivedBytes = -Infinity;
      }
    });
    socket.on('end', () => socket.destroy());
  });
  assert.equal(await readEnd(pool, UNREAD_REQUEST_BYTES), 'whole');
});

test('a connection is closed soon after a response that it ends', async t => {
  let closedAfterMs: number | undefined;
  const pool = await startServer(t, socket => {
    socket.once('data', () => {
      const endedMs = performance.now();
      socket.end(UNFRAMED_HEAD + HALF_BODY);
      socket.once('close', () => (closedAfterMs = performance.now() - endedMs));
    });
  });
  assert.equal(await readEnd(pool, 0), 'whole');
  await sleep(50);
  assert.ok(closedAfterMs !== undefined, 'still open');
});

test('an answer without a length whose connection ends while its request is unsent is not whole', async t => {
  const pool = await startServer(t, socket => {
    socket.pause();
    socket.end(UNFRAMED_HEAD + HALF_BODY);
  });
  assert.equal(await readEnd(pool), 'unproven');
});

test('an answer with a length is whole before its request is in, and no further request uses its connection', async t => {
  const connections: Socket[] = [];
  const pool = await startServer(t, socket => {
    connections.push(socket);
    socket.pause();
    socket.write(FRAMED_HEAD + HALF_BODY);
  });
  assert.equal(await readEnd(pool), 'whole');
  await sleep(20);
  const {chunks} = await send(pool, 1);
  for await (const chunk of chunks) void chunk;
  assert.equal(connections.length, 2);
});
