/** A small stand-in of the platform's store, after PROTOCOL.md. */
import {createServer} from 'node:http';
import {once} from 'node:events';
import {Buffer} from 'node:buffer';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const HISTORY_MS = 20_000;

/** Objects by kind and name, with revisions, lists, watches and writes. */
export class Store {
  revision = 100;
  objects = new Map();
  events = [];
  waiting = new Set();
  /** Returns 'silent', 'busy' or undefined for a call; changed by a test. */
  fault = () => undefined;
  sockets = new Set();

  static async start() {
    const store = new Store();
    store.server = createServer((message, response) =>
      store.handle(message, response),
    );
    store.server.on('connection', socket => {
      store.sockets.add(socket);
      socket.on('close', () => store.sockets.delete(socket));
      socket.on('error', () => undefined);
    });
    store.server.listen(0, '127.0.0.1');
    await once(store.server, 'listening');
    return store;
  }

  get address() {
    return `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  get(kind, name) {
    return this.objects.get(`${kind}/${name}`);
  }

  put(kind, name, spec) {
    return this.write(kind, name, {spec});
  }

  remove(kind, name) {
    const key = `${kind}/${name}`;
    const object = this.objects.get(key);
    if (object === undefined) return;
    this.objects.delete(key);
    this.revision += 1;
    this.record({kind, revision: this.revision, removed: true, object});
  }

  write(kind, name, change) {
    const key = `${kind}/${name}`;
    const before = this.objects.get(key);
    const same =
      before !== undefined &&
      Object.entries(change).every(
        ([field, value]) =>
          JSON.stringify(before[field]) === JSON.stringify(value),
      );
    if (same) return before;
    this.revision += 1;
    const object = {
      spec: null,
      status: null,
      ...before,
      ...change,
      metadata: {
        name,
        revision: this.revision,
        created: before?.metadata.created ?? this.revision,
        finalizers: [],
        deleting: false,
      },
    };
    this.objects.set(key, object);
    this.record({kind, revision: this.revision, removed: false, object});
    return object;
  }

  record(event) {
    const atMs = Date.now();
    this.events.push({...event, atMs});
    while (this.events[0].atMs < atMs - HISTORY_MS) this.events.shift();
    for (const wake of [...this.waiting]) wake();
  }

  async handle(message, response) {
    const url = new URL(message.url, 'http://store');
    const [, , kind, rawName, suffix] = url.pathname.split('/');
    const name = rawName && decodeURIComponent(rawName);
    const chunks = [];
    for await (const chunk of message) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString('utf8');
    const call = {method: message.method, kind, name, query: url.searchParams};
    const fault = this.fault(call);
    if (fault === 'silent') return;
    if (fault === 'busy') return send(response, 503, {});
    const [status, answer] = await this.answer(call, suffix, body, response);
    send(response, status, answer);
  }

  answer({method, kind, name, query}, suffix, body, response) {
    if (method === 'GET' && name !== undefined) {
      const object = this.get(kind, name);
      return object === undefined ? [404, {}] : [200, object];
    }
    if (method === 'GET' && query.has('watch'))
      return this.watch(kind, query, response);
    if (method === 'GET') return [200, this.list(kind, query)];
    if (method === 'DELETE') {
      this.remove(kind, name);
      return [200, {}];
    }
    return this.change({method, kind, name}, suffix, JSON.parse(body));
  }

  change({method, kind, name}, suffix, sent) {
    const target = name ?? sent.metadata.name;
    const before = this.get(kind, target);
    if (method === 'POST' && before !== undefined) return [409, before];
    if (method === 'PUT' && before === undefined) return [404, {}];
    const revision = sent.metadata?.revision;
    if (revision !== undefined && revision !== before?.metadata.revision)
      return [409, before ?? {}];
    const change =
      suffix === 'status' ? {status: sent.status} : {spec: sent.spec};
    return [method === 'POST' ? 201 : 200, this.write(kind, target, change)];
  }

  list(kind, query) {
    const after = query.get('after') ?? '';
    const items = [...this.objects.entries()]
      .filter(([key]) => key.startsWith(`${kind}/`))
      .map(([, object]) => object)
      .filter(({metadata}) => metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    return {items, more: false, asOf: this.revision};
  }

  async watch(kind, query, response) {
    const from = Number(query.get('watch'));
    const waitMs = Number(query.get('waitMs') ?? 30_000);
    const oldest = this.events[0]?.revision ?? this.revision + 1;
    if (from > this.revision || from + 1 < oldest) return [410, {}];
    const find = () =>
      this.events.filter(e => e.kind === kind && e.revision > from);
    if (find().length === 0) {
      await new Promise(resolve => {
        const done = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const wake = () => find().length > 0 && done();
        const timer = setTimeout(done, waitMs);
        this.waiting.add(wake);
        response.once('close', done);
      });
    }
    const events = find().map(({object, removed}) => ({object, removed}));
    return [200, {events, asOf: this.revision}];
  }
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
