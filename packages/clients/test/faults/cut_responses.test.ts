import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {ConnectionPool} from '../../src/index.js';

const TIMEOUT_MS = 2000;
const PARALLEL_REQUESTS = 16;
const BODY = '0123456789';
const ID_HEADER = 'x-request-id: r1\r\n';

interface Framing {
  readonly title: string;
  readonly head: string;
  readonly body: string;
  /** The end of the connection delimits the body, wherever it comes. */
  readonly endsWithConnection: boolean;
}

const CHUNKED_BODY = '4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n';

const FRAMINGS: readonly Framing[] = [
  {
    title: 'a length',
    head: `HTTP/1.1 200 OK\r\n${ID_HEADER}Content-Length: 10\r\n\r\n`,
    body: BODY,
    endsWithConnection: false,
  },
  {
    title: 'a length and `Connection: close`',
    head: `HTTP/1.1 200 OK\r\n${ID_HEADER}Connection: close\r\nContent-Length: 10\r\n\r\n`,
    body: BODY,
    endsWithConnection: false,
  },
  {
    title: 'chunks',
    head: `HTTP/1.1 200 OK\r\n${ID_HEADER}Transfer-Encoding: chunked\r\n\r\n`,
    body: CHUNKED_BODY,
    endsWithConnection: false,
  },
  {
    title: 'chunks and `Connection: close`',
    head: `HTTP/1.1 200 OK\r\nConnection: close\r\n${ID_HEADER}Transfer-Encoding: chunked\r\n\r\n`,
    body: CHUNKED_BODY,
    endsWithConnection: false,
  },
  {
    title: 'no framing',
    head: `HTTP/1.1 200 OK\r\n${ID_HEADER}\r\n`,
    body: BODY,
    endsWithConnection: true,
  },
  {
    title: 'HTTP/1.0 without a length',
    head: `HTTP/1.0 200 OK\r\n${ID_HEADER}\r\n`,
    body: BODY,
    endsWithConnection: true,
  },
  {
    title: 'HTTP/1.0 with a length',
    head: `HTTP/1.0 200 OK\r\nContent-Length: 10\r\n${ID_HEADER}\r\n`,
    body: BODY,
    endsWithConnection: false,
  },
  {
    title: 'a length behind an interim response',
    head: `HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n${ID_HEADER}Content-Length: 10\r\n\r\n`,
    body: BODY,
    endsWithConnection: false,
  },
];

type ConnectionEnd = 'close' | 'reset';

const END_CONNECTION: Readonly<
  Record<ConnectionEnd, (socket: Socket) => void>
> = {
  close: socket => socket.end(),
  reset: socket => socket.resetAndDestroy(),
};

/** Responds to `/N` with the first N bytes of a text. */
async function startCuttingServer(
  t: TestContext,
  text: string,
  end: ConnectionEnd,
): Promise<string> {
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    socket.once('data', data => {
      const count = Number(/^GET \/(\d+)/.exec(String(data))?.[1]);
      // A reset discards what has not been read, so the bytes go first.
      socket.write(text.slice(0, count), () =>
        setTimeout(() => END_CONNECTION[end](socket), 5),
      );
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Returns the body of a response that looks complete; undefined if none does. */
async function readWhole(
  pool: ConnectionPool,
  count: number,
): Promise<string | undefined> {
  try {
    const stream = await pool.open({
      method: 'GET',
      path: `/${count}`,
      headers: {},
      body: undefined,
      maxIdleMs: 0,
      timeoutMs: TIMEOUT_MS,
    });
    const chunks: Buffer[] = [];
    for await (const chunk of stream.chunks) chunks.push(chunk);
    return Buffer.concat(chunks).toString('latin1');
  } catch {
    return undefined;
  }
}

function predictBody(
  {head, body, endsWithConnection}: Framing,
  count: number,
  end: ConnectionEnd,
): string | undefined {
  if (endsWithConnection) {
    if (end === 'reset' || count < head.length) return undefined;
    return body.slice(0, count - head.length);
  }
  return count === head.length + body.length ? BODY : undefined;
}

// Guards against a response that breaks off, in its head or its body, and
// reaches the caller as a whole one.
for (const framing of FRAMINGS) {
  for (const end of ['close', 'reset'] as const) {
    test(`a response with ${framing.title} that is cut at any byte by a ${end} does not look whole`, async t => {
      const text = framing.head + framing.body;
      const address = await startCuttingServer(t, text, end);
      const pool = ConnectionPool.create({
        address,
        maxConnections: PARALLEL_REQUESTS,
      });
      t.after(() => pool.close());
      const counts = Array.from({length: text.length + 1}, (_, n) => n);
      const wrong: string[] = [];
      const worker = async (): Promise<void> => {
        for (;;) {
          const count = counts.shift();
          if (count === undefined) return;
          const body = await readWhole(pool, count);
          const expected = predictBody(framing, count, end);
          if (body !== expected) wrong.push(`${count}: ${body}`);
        }
      };
      await Promise.all(Array.from({length: PARALLEL_REQUESTS}, worker));
      assert.deepEqual(wrong, []);
    });
  }
}
