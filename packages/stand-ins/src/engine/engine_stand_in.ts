import {
  readJson,
  sendJson,
  startHttpServer,
  type HttpExchange,
  type Route,
} from '../http/http_server.js';
import {EngineCounterState} from './engine_counter_state.js';
import {EngineFaultState} from './engine_fault_state.js';
import {
  resolveEngineOptions,
  type EngineFaults,
  type EngineStandIn,
  type EngineStandInOptions,
  type GenerateBody,
  type LoadReport,
  type LoadedModel,
  type OrderBody,
  type ResolvedEngineOptions,
} from './engine_types.js';
import {Generation, type GenerationContext} from './generation.js';
import {PrefixCache} from './prefix_cache.js';
import {PRIORITIES, SlotQueue} from './slot_queue.js';

/** The response to a request that is refused before it is executed. */
interface Refusal {
  readonly status: number;
  readonly body: {readonly code: string; readonly retryAfterMs?: number};
}

const FULL_RETRY_AFTER_MS = 100;
const MAX_TOKENS_LIMIT = 100_000;

function isSameModelVersion(a: LoadedModel, b: LoadedModel): boolean {
  return a.model === b.model && a.version === b.version;
}

function isGenerateBody(body: Partial<GenerateBody>): body is GenerateBody {
  const {maxTokens, priority} = body;
  return (
    typeof body.requestId === 'string' &&
    typeof body.model === 'string' &&
    typeof body.version === 'string' &&
    typeof body.prompt === 'string' &&
    Number.isInteger(maxTokens) &&
    maxTokens! <= MAX_TOKENS_LIMIT &&
    PRIORITIES.includes(priority!)
  );
}

/** State and request handlers of one engine. */
class EngineService {
  readonly faults = new EngineFaultState();
  readonly counters = new EngineCounterState();
  private readonly context: GenerationContext;
  private readonly queue: SlotQueue;
  private readonly cache: PrefixCache;
  private readonly activeGenerations = new Map<string, Generation>();
  private readonly modelLoadTimers = new Set<NodeJS.Timeout>();
  private readonly reportRefreshTimer: NodeJS.Timeout | undefined;
  private loaded: readonly LoadedModel[];
  private isDraining = false;
  private fencing = 0;
  private report: LoadReport;
  private reportCreatedAtMs = performance.now();

  constructor(private readonly options: ResolvedEngineOptions) {
    this.loaded = options.loaded;
    this.queue = SlotQueue.create(options.slots, options.queueLimit);
    this.cache = PrefixCache.create({
      entryLimit: options.cacheEntries,
      eventLagMs: options.cacheEventLagMs,
      eventLossEvery: options.cacheEventLossEvery,
    });
    const {queue, cache, faults, counters} = this;
    this.context = {options, queue, cache, faults, counters};
    this.report = this.createReport();
    if (options.loadLagMs > 0) {
      this.reportRefreshTimer = setInterval(
        () => this.refreshReport(),
        options.loadLagMs,
      );
    }
  }

  stop(): void {
    clearInterval(this.reportRefreshTimer);
    for (const timer of this.modelLoadTimers) clearTimeout(timer);
    for (const generation of this.activeGenerations.values()) {
      generation.cancel('cancelled');
    }
  }

  async generate({request, response}: HttpExchange): Promise<void> {
    if (this.faults.current.isHung) return;
    const body = await readJson<Partial<GenerateBody>>(request);
    if (!isGenerateBody(body)) {
      sendJson(response, 400, {code: 'invalid_request'});
      return;
    }
    const refusal = this.findRefusal(body);
    if (refusal !== undefined) {
      this.counters.refused += 1;
      sendJson(response, refusal.status, refusal.body);
      return;
    }
    const {requestId} = body;
    const generation = Generation.create(this.context, body, response, () => {
      if (this.activeGenerations.get(requestId) === generation) {
        this.activeGenerations.delete(requestId);
      }
    });
    this.activeGenerations.set(requestId, generation);
  }

  async cancel({request, response}: HttpExchange): Promise<void> {
    const {requestId} = await readJson<{requestId: string}>(request);
    const isCancelled =
      this.activeGenerations.get(requestId)?.cancel('cancelled') ?? false;
    if (isCancelled) this.counters.cancelled += 1;
    sendJson(response, 200, {isCancelled});
  }

  async applyOrder({request, response}: HttpExchange): Promise<void> {
    const {fencing, wanted} = await readJson<OrderBody>(request);
    if (fencing < this.fencing && !this.options.ignoreFencing) {
      this.counters.ordersRefused += 1;
      sendJson(response, 409, {code: 'old_fencing', current: this.fencing});
      return;
    }
    this.fencing = Math.max(fencing, this.fencing);
    this.applyWantedState(wanted);
    this.counters.ordersApplied += 1;
    sendJson(response, 200, {applied: true});
  }

  sendLoadReport({response}: HttpExchange): void {
    if (!this.faults.current.isHung) sendJson(response, 200, this.load());
  }

  sendCacheEvents({url, response}: HttpExchange): void {
    const after = Number(url.searchParams.get('after') ?? 0);
    sendJson(response, 200, this.cache.listEventsAfter(after));
  }

  load(): LoadReport {
    if (this.reportRefreshTimer === undefined) this.refreshReport();
    const reportAgeMs = Math.round(performance.now() - this.reportCreatedAtMs);
    return {...this.report, reportAgeMs};
  }

  private findRefusal(body: GenerateBody): Refusal | undefined {
    if (this.isDraining) return {status: 503, body: {code: 'draining'}};
    if (!this.loaded.some(loaded => isSameModelVersion(loaded, body))) {
      return {status: 409, body: {code: 'not_loaded'}};
    }
    if (this.faults.consumeRefusal() || this.queue.isFull) {
      const retryAfterMs = FULL_RETRY_AFTER_MS;
      return {status: 429, body: {code: 'full', retryAfterMs}};
    }
    return undefined;
  }

  private applyWantedState(wanted: OrderBody['wanted']): void {
    this.isDraining = wanted.isDraining;
    const kept = this.loaded.filter(loaded =>
      wanted.loaded.some(model => isSameModelVersion(model, loaded)),
    );
    if (this.options.modelLoadMs <= 0) {
      this.loaded = wanted.loaded;
      return;
    }
    this.loaded = kept;
    for (const timer of this.modelLoadTimers) clearTimeout(timer);
    this.modelLoadTimers.clear();
    const timer = setTimeout(() => {
      this.modelLoadTimers.delete(timer);
      this.loaded = wanted.loaded;
    }, this.options.modelLoadMs);
    this.modelLoadTimers.add(timer);
  }

  private createReport(): LoadReport {
    return {
      running: this.queue.running,
      queued: this.queue.queued,
      slots: this.options.slots,
      loaded: this.loaded,
      cachedPrefixes: this.cache.size,
      isDraining: this.isDraining,
      reportAgeMs: 0,
    };
  }

  private refreshReport(): void {
    this.report = this.createReport();
    this.reportCreatedAtMs = performance.now();
  }
}

function createRoutes(service: EngineService): readonly Route[] {
  return [
    {method: 'POST', path: '/v1/generate', handle: e => service.generate(e)},
    {method: 'POST', path: '/v1/cancel', handle: e => service.cancel(e)},
    {method: 'POST', path: '/v1/orders', handle: e => service.applyOrder(e)},
    {method: 'GET', path: '/v1/load', handle: e => service.sendLoadReport(e)},
    {
      method: 'GET',
      path: '/v1/cache-events',
      handle: e => service.sendCacheEvents(e),
    },
    {
      method: 'GET',
      path: '/admin/counters',
      handle: e => sendJson(e.response, 200, service.counters.snapshot()),
    },
    {
      method: 'POST',
      path: '/admin/faults',
      handle: async e => {
        service.faults.set(await readJson<Partial<EngineFaults>>(e.request));
        sendJson(e.response, 200, {});
      },
    },
  ];
}

/**
 * Starts an HTTP stand-in for a model engine. `expectedTokens` lists the tokens
 * that it generates for a request.
 *
 * @example
 * ```ts
 * const engine = await startEngineStandIn({
 *   slots: 4,
 *   loaded: [{model: 'quick', version: 'v1'}],
 * });
 * engine.setFaults({cutAfterTokens: 3});
 * ```
 */
export async function startEngineStandIn(
  options: EngineStandInOptions = {},
): Promise<EngineStandIn> {
  const service = new EngineService(resolveEngineOptions(options));
  const server = await startHttpServer(options, createRoutes(service), () =>
    service.stop(),
  );
  return {
    ...server,
    setFaults: faults => service.faults.set(faults),
    counters: () => service.counters.snapshot(),
    load: () => service.load(),
  };
}
