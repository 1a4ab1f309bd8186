import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  ConnectionPool,
  HttpTransport,
  isTransportError,
  type HttpStream,
} from '@anvilrudder/clients';

/** More than a reader is sent before it has read any. */
const BODY = 'x'.repeat(100_000);
const END_DELAY_MS = 50;
/** The reader begins long behind the end. */
const READ_DELAY_MS = 200;

const HEADERS_BY_FRAMING = {
  connection: '',
  chunks: 'Transfer-Encoding: chunked\r\nConnection: close\r\n',
  length: `Content-Length: ${BODY.length + 1}\r\nConnection: close\r\n`,
} as const;
type Framing = keyof typeof HEADERS_BY_FRAMING;

const CHUNK = `${BODY.length.toString(16)}\r\n${BODY}\r\n`;

async function startServer(
  t: TestContext,
  framing: Framing,
  end: 'reset' | 'close',
): Promise<string> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.resume();
    socket.write(`HTTP/1.1 200 OK\r\n${HEADERS_BY_FRAMING[framing]}\r\n`);
    socket.write(framing === 'chunks' ? CHUNK : BODY);
    setTimeout(() => {
      if (end === 'reset') socket.resetAndDestroy();
      else socket.end();
    }, END_DELAY_MS);
  });
  t.after(() => server.close());
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const OPEN_BY_CLIENT: Readonly<
  Record<string, (t: TestContext, address: string) => Promise<HttpStream>>
> = {
  ConnectionPool: (t, address) => {
    const pool = ConnectionPool.create({address, maxConnections: 1});
    t.after(() => pool.close());
    return pool.open({
      method: 'GET',
      path: '/',
      headers: {},
      body: undefined,
      maxIdleMs: 1000,
      timeoutMs: 3000,
    });
  },
  HttpTransport: (t, address) => {
    const transport = HttpTransport.create();
    t.after(() => transport.close());
    return transport.open({address, method: 'GET', path: '/', timeoutMs: 3000});
  },
};

async function readLate({chunks}: HttpStream): Promise<string> {
  await sleep(READ_DELAY_MS);
  try {
    for await (const chunk of chunks) void chunk;
    return 'whole';
  } catch (error) {
    assert.ok(isTransportError(error));
    return error.failure;
  }
}

for (const [client, open] of Object.entries(OPEN_BY_CLIENT)) {
  for (const framing of ['connection', 'chunks', 'length'] as const) {
    // Guards against an exception that ends the process.
    test(`an answer that is reset while reading is paused is cut (${client}, ${framing})`, async t => {
      const address = await startServer(t, framing, 'reset');
      assert.equal(await readLate(await open(t, address)), 'cut');
    });
  }

  test(`an answer that ends in order while reading is paused is whole (${client})`, async t => {
    const address = await startServer(t, 'connection', 'close');
    assert.equal(await readLate(await open(t, address)), 'whole');
  });
}

// Guards against a connection that stays paused behind its response.
test('a connection is read again after a response that ended while it was paused', async t => {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      const head = `HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n`;
      socket.write(head + BODY);
    });
  });
  t.after(() => server.close());
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const pool = ConnectionPool.create({
    address: `127.0.0.1:${port}`,
    maxConnections: 1,
  });
  t.after(() => pool.close());
  const request = {
    method: 'GET',
    path: '/',
    headers: {},
    body: undefined,
    maxIdleMs: 1000,
    timeoutMs: 1000,
    idleTimeoutMs: 1000,
  };
  for (let run = 0; run < 5; run += 1)
    assert.equal(await readLate(await pool.open(request)), 'whole');
});
