/**
 * A stand-in for a runner. It reads requests from raw connections, rejects those
 * that expect another instance, records the ones that it runs, and hands them to a
 * function that writes the answer.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:net';

const HEAD_END = '\r\n\r\n';

function parseHead(text) {
  const [requestLine, ...lines] = text.split('\r\n');
  const [method, path] = requestLine.split(' ');
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  return {method, path, headers};
}

export function formatHead(request, status, headers = {}) {
  const all = {
    'Anvilrudder-Request-Id': request.headers['anvilrudder-request-id'],
    'Anvilrudder-Server-Stamp': 'stamp',
    ...headers,
  };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
  return `HTTP/1.1 ${status} X\r\n${lines.join('\r\n')}\r\n\r\n`;
}

export function answer(request, status, body, headers = {}) {
  const bytes = Buffer.from(body);
  const head = {'Content-Length': bytes.length, ...headers};
  request.socket.write(
    Buffer.concat([Buffer.from(formatHead(request, status, head)), bytes]),
  );
}

export class Runner {
  runs = [];
  arrivals = [];
  sockets = new Set();
  slots = 6;
  #server = createServer(socket => this.#accept(socket));

  constructor(id, service, run, more = {}) {
    Object.assign(this, {
      id,
      service,
      run,
      zone: 'kr-central-a',
      version: 'v1',
    });
    Object.assign(this, more);
    this.born = Date.now();
  }

  static async start(id, service, run, more = {}) {
    const runner = new Runner(id, service, run, more);
    await runner.listen(more.port ?? 0, more.ip);
    return runner;
  }

  async listen(port = 0, ip = '127.0.0.1') {
    this.#server.listen(port, ip);
    await once(this.#server, 'listening');
    this.address = `${ip}:${this.#server.address().port}`;
  }

  register(store, state = 'ready') {
    const {id, service, address, zone, version, slots, born} = this;
    const entry = {service, address, zone, version, slots, state, born};
    store.put('servers', id, {...entry, coldRemainingMs: 0, sequence: 0});
  }

  stop() {
    this.#server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  #accept(socket) {
    this.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('close', () => this.sockets.delete(socket));
    let received = Buffer.alloc(0);
    socket.on('data', chunk => {
      received = Buffer.concat([received, chunk]);
      for (;;) {
        const headEnd = received.indexOf(HEAD_END);
        if (headEnd < 0) return;
        const head = parseHead(received.toString('latin1', 0, headEnd));
        const length = Number(head.headers['content-length'] ?? 0);
        const begin = headEnd + HEAD_END.length;
        if (received.length < begin + length) return;
        const body = received.toString('latin1', begin, begin + length);
        received = received.subarray(begin + length);
        this.#take({...head, body, socket});
      }
    });
  }

  #take(request) {
    const {headers} = request;
    const id = headers['anvilrudder-request-id'];
    this.arrivals.push(id);
    if ((headers['anvilrudder-expect-instance'] ?? this.id) !== this.id) {
      answer(request, 421, '', {'Anvilrudder-Instance-Id': this.id});
      return;
    }
    this.runs.push({id, atMs: Date.now(), ...request});
    this.run(request, this);
  }
}
