/**
 * A stand-in for the platform's store: objects by kind and name, lists in pages,
 * watches and conditional writes. It is always sound.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const PAGE_SIZE = 50;

async function readText(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

function send(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

export class Store {
  #revision = 100;
  #objects = new Map();
  #events = [];
  #waiting = new Set();
  #server = createServer((message, response) => {
    this.#handle(message, response).catch(() => response.destroy());
  });

  static async start() {
    const store = new Store();
    store.#server.keepAliveTimeout = 60_000;
    store.#server.listen(0, '127.0.0.1');
    await once(store.#server, 'listening');
    return store;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get(kind, name) {
    return this.#objects.get(`${kind}/${name}`);
  }

  put(kind, name, spec) {
    const known = this.get(kind, name);
    this.#revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.#revision,
        created: known?.metadata.created ?? this.#revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: known?.status ?? null,
    };
    this.#objects.set(`${kind}/${name}`, object);
    this.#record(kind, object, false);
    return object;
  }

  remove(kind, name) {
    const object = this.get(kind, name);
    if (object === undefined) return;
    this.#objects.delete(`${kind}/${name}`);
    this.#revision += 1;
    this.#record(kind, object, true);
  }

  #record(kind, object, removed) {
    const copy = JSON.parse(JSON.stringify(object));
    const revision = this.#revision;
    this.#events.push({kind, revision, event: {object: copy, removed}});
    for (const wake of [...this.#waiting]) wake();
  }

  async #handle(message, response) {
    const text = await readText(message);
    const url = new URL(message.url, 'http://store');
    const [, , kind, encodedName, suffix] = url.pathname.split('/');
    const name = encodedName && decodeURIComponent(encodedName);
    const {method} = message;
    const call = {method, kind, name, suffix, query: url.searchParams, text};
    if (method === 'GET') {
      await this.#read(call, response);
      return;
    }
    const [status, body] = this.write(call);
    send(response, status, body);
  }

  async #read({kind, name, query}, response) {
    if (name !== undefined) {
      const object = this.get(kind, name);
      send(response, object ? 200 : 404, object ?? {});
      return;
    }
    if (query.has('watch')) {
      await this.#watch(kind, query, response);
      return;
    }
    const after = query.get('after') ?? '';
    const items = [...this.#objects]
      .filter(([key, {metadata}]) => {
        return key.startsWith(`${kind}/`) && metadata.name > after;
      })
      .map(([, object]) => object)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    send(response, 200, {
      items: items.slice(0, PAGE_SIZE),
      more: items.length > PAGE_SIZE,
      asOf: this.#revision,
    });
  }

  async #watch(kind, query, response) {
    const since = Number(query.get('watch'));
    const untilMs = performance.now() + Number(query.get('waitMs') ?? 0);
    const find = () =>
      this.#events.filter(e => e.kind === kind && e.revision > since);
    while (find().length === 0 && performance.now() < untilMs) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, untilMs - performance.now());
        this.#waiting.add(wake);
        response.once('close', wake);
      });
      if (response.destroyed) return;
    }
    const events = find().map(({event}) => event);
    send(response, 200, {events, asOf: this.#revision});
  }

  /** Carries out a write call; returns its status and body. */
  write({method, kind, name, suffix, query, text}) {
    const content = JSON.parse(text || '{}');
    const key = name ?? content.metadata?.name;
    const known = this.get(kind, key);
    if (method === 'POST') {
      if (known !== undefined) return [409, known];
      return [201, this.put(kind, key, content.spec)];
    }
    if (known === undefined) return [404, {}];
    const condition = content.metadata?.revision ?? query.get('revision');
    if (condition !== undefined && condition !== null) {
      if (Number(condition) !== known.metadata.revision) return [409, known];
    }
    if (method === 'DELETE') {
      this.remove(kind, key);
      return [200, known];
    }
    if (suffix !== 'status') return [200, this.put(kind, key, content.spec)];
    this.#revision += 1;
    known.metadata.revision = this.#revision;
    known.status = content.status;
    this.#record(kind, known, false);
    return [200, known];
  }
}
