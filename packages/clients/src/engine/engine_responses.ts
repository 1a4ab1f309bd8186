import type {ModelVersion} from '@anvilrudder/core';
import {
  readNumber,
  readObjects,
  readString,
  type JsonObject,
} from '../http/json.js';
import type {
  CacheEvent,
  CacheEventPage,
  EngineLoad,
  OrderResult,
} from './engine_types.js';

function readModelVersion(body: JsonObject): ModelVersion {
  const model = readString(body, 'model') ?? '';
  return {model, version: readString(body, 'version') ?? ''};
}

/** Reads a load report; undefined when it is malformed. */
export function readEngineLoad(body: JsonObject): EngineLoad | undefined {
  const running = readNumber(body, 'running');
  const queued = readNumber(body, 'queued');
  const slots = readNumber(body, 'slots');
  const loaded = readObjects(body, 'loaded')?.map(readModelVersion);
  const reportAgeMs = readNumber(body, 'reportAgeMs');
  if (running === undefined || queued === undefined) return undefined;
  if (slots === undefined || loaded === undefined) return undefined;
  if (reportAgeMs === undefined) return undefined;
  const cachedPrefixes = readNumber(body, 'cachedPrefixes') ?? 0;
  const isDraining = body.isDraining === true;
  return {
    running,
    queued,
    slots,
    loaded,
    cachedPrefixes,
    isDraining,
    reportAgeMs,
  };
}

function readCacheEvent(body: JsonObject): readonly CacheEvent[] {
  const sequence = readNumber(body, 'sequence');
  const prefixHash = readString(body, 'prefixHash');
  const {kind} = body;
  if (sequence === undefined || prefixHash === undefined) return [];
  if (kind !== 'stored' && kind !== 'evicted') return [];
  return [{sequence, kind, prefixHash}];
}

/**
 * Reads a page of cache events. Malformed events and unknown kinds are omitted;
 * the result is undefined when the page itself is malformed.
 */
export function readCacheEventPage(
  body: JsonObject,
): CacheEventPage | undefined {
  const events = readObjects(body, 'events')?.flatMap(readCacheEvent);
  const next = readNumber(body, 'next');
  if (events === undefined || next === undefined) return undefined;
  return {events, next};
}

/** Reads the response to an order; undefined when it is malformed. */
export function readOrderResult(body: JsonObject): OrderResult | undefined {
  if (body.applied === true) return {status: 'applied'};
  const currentFencing = readNumber(body, 'current');
  if (body.code !== 'old_fencing') return undefined;
  return currentFencing === undefined
    ? undefined
    : {status: 'oldFencing', currentFencing};
}

/** Reads the response to a cancellation; undefined when it is malformed. */
export function readCancelResult(body: JsonObject): boolean | undefined {
  return typeof body.isCancelled === 'boolean' ? body.isCancelled : undefined;
}
