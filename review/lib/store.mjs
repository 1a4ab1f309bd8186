// A small stand-in for the platform's store, after PROTOCOL.md.
import {createServer} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const EMPTY_BODY = {};

function sendJson(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(text);
}

async function readJson(message) {
  let text = '';
  for await (const chunk of message) text += chunk;
  return text === '' ? EMPTY_BODY : JSON.parse(text);
}

/** The objects of the store and the watches that wait for their changes. */
export class Store {
  constructor() {
    this.revision = 100;
    this.objects = new Map();
    this.events = [];
    this.watches = new Set();
    this.server = createServer((message, response) => {
      this.handle(message, response).catch(() => response.destroy());
    });
  }

  static async start() {
    const store = new Store();
    await new Promise(resolve => {
      store.server.listen(0, '127.0.0.1', resolve);
    });
    return store;
  }

  get port() {
    return this.server.address().port;
  }

  /** Writes the spec of an object; its return is the acknowledgement. */
  put(kind, name, spec) {
    const known = this.objects.get(`${kind}/${name}`);
    this.revision += 1;
    this.save({
      kind,
      metadata: {
        name,
        revision: this.revision,
        created: known?.metadata.created ?? this.revision,
        finalizers: [],
        deleting: false,
      },
      spec,
      status: known?.status ?? null,
    });
  }

  remove(kind, name) {
    const object = this.objects.get(`${kind}/${name}`);
    if (object === undefined) return;
    this.objects.delete(`${kind}/${name}`);
    this.revision += 1;
    this.publish(object, true);
  }

  readStatus(kind, name) {
    return this.objects.get(`${kind}/${name}`)?.status;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
    for (const wake of this.watches) wake();
  }

  save(object) {
    this.objects.set(`${object.kind}/${object.metadata.name}`, object);
    this.publish(object, false);
  }

  publish(object, removed) {
    const {kind} = object;
    const copy = JSON.parse(JSON.stringify(object));
    this.events.push({
      kind,
      revision: this.revision,
      event: {object: copy, removed},
    });
    for (const wake of this.watches) wake();
  }

  async handle(message, response) {
    const url = new URL(message.url, 'http://store');
    const [, , kind, name, part] = url.pathname
      .split('/')
      .map(decodeURIComponent);
    const body = await readJson(message);
    const {method} = message;
    if (method === 'GET' && name === undefined) {
      if (url.searchParams.has('watch'))
        return this.watch(kind, url.searchParams, response);
      return this.list(kind, url.searchParams, response);
    }
    if (method === 'POST') {
      const newName = body.metadata.name;
      const known = this.objects.get(`${kind}/${newName}`);
      if (known !== undefined) return sendJson(response, 409, known);
      this.put(kind, newName, body.spec);
      return sendJson(response, 200, this.objects.get(`${kind}/${newName}`));
    }
    const object = this.objects.get(`${kind}/${name}`);
    if (object === undefined) return sendJson(response, 404, EMPTY_BODY);
    if (method === 'GET') return sendJson(response, 200, object);
    const revision =
      body.metadata?.revision ?? url.searchParams.get('revision') ?? undefined;
    if (revision !== undefined && Number(revision) !== object.metadata.revision)
      return sendJson(response, 409, object);
    if (method === 'DELETE') {
      this.remove(kind, name);
      return sendJson(response, 200, object);
    }
    if (part === 'status') {
      this.revision += 1;
      this.save({
        ...object,
        metadata: {...object.metadata, revision: this.revision},
        status: body.status,
      });
    } else this.put(kind, name, body.spec);
    sendJson(response, 200, this.objects.get(`${kind}/${name}`));
  }

  list(kind, query, response) {
    const after = query.get('after') ?? '';
    const items = [...this.objects.values()]
      .filter(object => object.kind === kind && object.metadata.name > after)
      .sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    sendJson(response, 200, {items, more: false, asOf: this.revision});
  }

  async watch(kind, query, response) {
    const after = Number(query.get('watch'));
    const find = () =>
      this.events.filter(
        event => event.kind === kind && event.revision > after,
      );
    if (find().length === 0) {
      await new Promise(resolve => {
        const wake = () => {
          if (this.server.listening && find().length === 0) return;
          finish();
        };
        const finish = () => {
          this.watches.delete(wake);
          clearTimeout(timer);
          resolve();
        };
        const timer = setTimeout(finish, Number(query.get('waitMs')));
        this.watches.add(wake);
        response.once('close', finish);
      });
    }
    sendJson(response, 200, {
      events: find().map(({event}) => event),
      asOf: this.revision,
    });
  }
}
