// A small stand-in for a runner, after PROTOCOL.md. It notes what it runs.
import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';

/** A runner that serves plain requests and event streams. */
export class Runner {
  constructor({id, service, version = 'v1', workMs = 20, record}) {
    Object.assign(this, {id, service, version, workMs, record});
    this.born = Date.now();
    /** Called with the request and the response instead of a plain answer. */
    this.answer = undefined;
    this.runs = [];
    this.stampCount = 0;
    this.server = createServer((message, response) => {
      response.on('error', () => undefined);
      this.serve(message, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 20_000;
  }

  static async start(options) {
    const runner = new Runner(options);
    await new Promise(resolve => {
      runner.server.listen(0, '127.0.0.1', resolve);
    });
    return runner;
  }

  get address() {
    return `127.0.0.1:${this.server.address().port}`;
  }

  /** The entry under `servers` in the store. */
  entry(state = 'ready') {
    const {service, address, version, born} = this;
    return {
      service,
      address,
      zone: 'zone-a',
      version,
      slots: 16,
      state,
      coldRemainingMs: 0,
      sequence: 1,
      born,
    };
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  async serve(message, response) {
    const {headers, method, url} = message;
    let body = '';
    for await (const chunk of message) body += chunk;
    const requestId = headers['anvilrudder-request-id'] ?? '';
    response.setHeader('Anvilrudder-Request-Id', requestId);
    if (headers['anvilrudder-expect-instance'] !== this.id) {
      response.writeHead(421, {'Anvilrudder-Not-Executed': '1'});
      response.end();
      return;
    }
    const run = {requestId, method, url, body, headers, runner: this.id};
    this.runs.push(run);
    this.record(`run   ${requestId} at ${this.id} (${this.service})`);
    this.stampCount += 1;
    const stamp = `${this.id}.${this.stampCount}`;
    if (this.answer !== undefined) {
      await this.answer({run, stamp, message, response});
      return;
    }
    await delay(this.workMs);
    response.writeHead(200, {'Anvilrudder-Server-Stamp': stamp});
    response.end(`${requestId} done by ${this.id}`);
  }
}

/** Sends an event stream with a pause before each event. */
export async function sendEvents(
  {run, stamp, message, response},
  {count, pauseMs},
) {
  response.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'Anvilrudder-Server-Stamp': stamp,
  });
  const first = Number(message.headers['last-event-id'] ?? 0) + 1;
  for (let id = first; id <= count; id += 1) {
    await delay(pauseMs);
    if (response.destroyed) return;
    response.write(`id: ${id}\ndata: ${run.requestId}/${id}\n\n`);
  }
  response.end();
}
