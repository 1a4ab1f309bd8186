import {EventEmitter, once, setMaxListeners} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  cutConnection,
  readBody,
  readJson,
  sendJson,
  startHttpServer,
  type HttpExchange,
  type ListenOptions,
  type StandIn,
} from '../http/http_server.js';
import {
  VersionedObjects,
  type ChangeResult,
  type Precondition,
} from './versioned_objects.js';

/** Faults to inject into the object API. */
export interface ObjectFaults {
  /** Every call is answered 503 and has no effect. */
  readonly isDown: boolean;
  /** Delay in ms before each call takes effect. */
  readonly delayMs: number;
  /** The next n writes take effect, but their connection is closed. */
  readonly loseWriteAnswers: number;
  /** The next n writes have no effect and their connection is closed. */
  readonly loseWrites: number;
  /** The next n writes wait until this is set again, then take effect. */
  readonly holdWrites: number;
  /** Reads return the state from when this was set to true. */
  readonly staleReads: boolean;
}

type CountedFault = 'loseWriteAnswers' | 'loseWrites' | 'holdWrites';

/**
 * Numbers of calls since the start. `rejected` counts calls answered 503,
 * `conflicts` counts writes whose precondition was not met.
 */
export interface ObjectCounters {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly rejected: number;
  readonly conflicts: number;
}

/** Settings of the object API stand-in. */
export interface ObjectStandInOptions extends ListenOptions {
  /** Number of changes kept in the history for watches. Default 10000. */
  readonly historyLimit?: number;
}

/** A running object API stand-in. */
export interface ObjectStandIn extends StandIn {
  /** Changes the given faults and leaves the others as they are. */
  setFaults(faults: Partial<ObjectFaults>): void;
  counters(): ObjectCounters;
}

const DEFAULT_HISTORY_LIMIT = 10_000;
const DEFAULT_PAGE_LIMIT = 100;
const MAX_PAGE_LIMIT = 1000;
const MAX_VALUE_BYTES = 1024 * 1024;
const MAX_WATCH_MS = 60_000;

const NO_FAULTS: ObjectFaults = {
  isDown: false,
  delayMs: 0,
  loseWriteAnswers: 0,
  loseWrites: 0,
  holdWrites: 0,
  staleReads: false,
};

function parsePrecondition(exchange: HttpExchange): Precondition {
  const {headers} = exchange.request;
  if (headers['if-none-match'] === '*') return {kind: 'absent'};
  const match = headers['if-match'];
  if (match === undefined) return {kind: 'any'};
  return {kind: 'version', version: Number(match.replaceAll('"', ''))};
}

/** State and request handlers of one object API. */
class ObjectService {
  private faults = NO_FAULTS;
  private readonly callCounts = {
    reads: 0,
    writes: 0,
    watches: 0,
    rejected: 0,
    conflicts: 0,
  };
  private readonly objects: VersionedObjects;
  private staleCopy: VersionedObjects | undefined;
  private readonly faultChanges = new EventEmitter();
  private readonly stopSignal = new AbortController();

  constructor(historyLimit: number) {
    this.objects = VersionedObjects.create(historyLimit);
    // Each waiting watch adds a listener; without this, more than 10 of them
    // would give a warning about a leak.
    setMaxListeners(0, this.stopSignal.signal);
  }

  setFaults(faults: Partial<ObjectFaults>): void {
    this.faults = {...this.faults, ...faults};
    if (faults.holdWrites !== undefined) this.faultChanges.emit('holdWrites');
    if (faults.staleReads === undefined) return;
    this.staleCopy = faults.staleReads ? this.objects.copy() : undefined;
  }

  counters(): ObjectCounters {
    return {...this.callCounts};
  }

  stop(): void {
    this.stopSignal.abort();
  }

  async get(exchange: HttpExchange): Promise<void> {
    if (!(await this.admitCall(exchange, 'reads'))) return;
    const record = (this.staleCopy ?? this.objects).get(exchange.remainingPath);
    if (record === undefined) sendJson(exchange.response, 404, {});
    else sendJson(exchange.response, 200, record);
  }

  async list(exchange: HttpExchange): Promise<void> {
    if (!(await this.admitCall(exchange, 'reads'))) return;
    const query = exchange.url.searchParams;
    const limit = Number(query.get('limit') ?? DEFAULT_PAGE_LIMIT);
    const page = (this.staleCopy ?? this.objects).list(
      query.get('prefix') ?? '',
      query.get('after') ?? '',
      Math.min(Math.max(limit, 1), MAX_PAGE_LIMIT),
    );
    sendJson(exchange.response, 200, page);
  }

  async put(exchange: HttpExchange): Promise<void> {
    const value = await readBody(exchange.request);
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      sendJson(exchange.response, 413, {});
      return;
    }
    const precondition = parsePrecondition(exchange);
    await this.write(exchange, () =>
      this.objects.put(exchange.remainingPath, value, precondition),
    );
  }

  async delete(exchange: HttpExchange): Promise<void> {
    const precondition = parsePrecondition(exchange);
    await this.write(exchange, () =>
      this.objects.delete(exchange.remainingPath, precondition),
    );
  }

  async watch(exchange: HttpExchange): Promise<void> {
    if (!(await this.admitCall(exchange, 'watches'))) return;
    const query = exchange.url.searchParams;
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after') ?? 0);
    const waitMs = Math.min(Number(query.get('timeoutMs') ?? 0), MAX_WATCH_MS);
    await this.waitForChange(exchange, prefix, after, waitMs);
    const events = this.objects.listEventsAfter(prefix, after);
    if (this.faults.isDown) sendJson(exchange.response, 503, {});
    else if (events === undefined) sendJson(exchange.response, 410, {});
    else {
      const storeVersion = this.objects.version;
      sendJson(exchange.response, 200, {events, storeVersion});
    }
  }

  private waitForChange(
    exchange: HttpExchange,
    prefix: string,
    after: number,
    waitMs: number,
  ): Promise<void> {
    const hasChanges = () =>
      this.objects.listEventsAfter(prefix, after)?.length !== 0;
    if (hasChanges() || waitMs <= 0) return Promise.resolve();
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        unsubscribe();
        this.stopSignal.signal.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      const unsubscribe = this.objects.onChange(() => {
        if (hasChanges()) finish();
      });
      this.stopSignal.signal.addEventListener('abort', finish);
      exchange.response.once('close', finish);
    });
  }

  private async write(
    exchange: HttpExchange,
    apply: () => ChangeResult,
  ): Promise<void> {
    if (!(await this.admitCall(exchange, 'writes'))) return;
    if (this.consumeFault('holdWrites')) await this.waitForRelease();
    if (this.consumeFault('loseWrites')) {
      cutConnection(exchange.response);
      return;
    }
    const result = apply();
    if (!result.isApplied) this.callCounts.conflicts += 1;
    if (this.consumeFault('loseWriteAnswers')) cutConnection(exchange.response);
    else if (result.isApplied) {
      sendJson(exchange.response, 200, {version: result.version});
    } else sendJson(exchange.response, 412, {current: result.current});
  }

  private async waitForRelease(): Promise<void> {
    const {signal} = this.stopSignal;
    await once(this.faultChanges, 'holdWrites', {signal});
  }

  private consumeFault(name: CountedFault): boolean {
    if (this.faults[name] <= 0) return false;
    this.faults = {...this.faults, [name]: this.faults[name] - 1};
    return true;
  }

  private async admitCall(
    exchange: HttpExchange,
    counter: 'reads' | 'writes' | 'watches',
  ): Promise<boolean> {
    this.callCounts[counter] += 1;
    const {delayMs} = this.faults;
    if (delayMs > 0) {
      await sleep(delayMs, undefined, {signal: this.stopSignal.signal});
    }
    if (!this.faults.isDown) return true;
    this.callCounts.rejected += 1;
    sendJson(exchange.response, 503, {});
    return false;
  }
}

/**
 * Starts an HTTP stand-in for the platform's object API.
 *
 * @example
 * ```ts
 * const objects = await startObjectStandIn();
 * objects.setFaults({isDown: true});
 * await objects.stop();
 * ```
 */
export async function startObjectStandIn(
  options: ObjectStandInOptions = {},
): Promise<ObjectStandIn> {
  const {historyLimit = DEFAULT_HISTORY_LIMIT} = options;
  const service = new ObjectService(historyLimit);
  const server = await startHttpServer(
    options,
    [
      {method: 'GET', path: '/objects', handle: e => service.list(e)},
      {method: 'GET', path: '/objects/', handle: e => service.get(e)},
      {method: 'PUT', path: '/objects/', handle: e => service.put(e)},
      {method: 'DELETE', path: '/objects/', handle: e => service.delete(e)},
      {method: 'GET', path: '/watch', handle: e => service.watch(e)},
      {
        method: 'GET',
        path: '/admin/counters',
        handle: e => sendJson(e.response, 200, service.counters()),
      },
      {
        method: 'POST',
        path: '/admin/faults',
        handle: async e => {
          service.setFaults(await readJson<Partial<ObjectFaults>>(e.request));
          sendJson(e.response, 200, {});
        },
      },
    ],
    () => service.stop(),
  );
  return {
    ...server,
    setFaults: faults => service.setFaults(faults),
    counters: () => service.counters(),
  };
}
