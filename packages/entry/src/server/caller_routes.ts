import type {IncomingMessage} from 'node:http';
import type {EntryContext} from '../entry_context.js';
import {serveServiceCall} from '../stages/call_service.js';
import type {RawRequest} from '../stages/caller_request.js';
import {serveGenerate} from '../stages/generate.js';
import type {ResponseWriter} from './response_writer.js';

/** Handles one request whose body has been read. */
export type RouteHandler = (
  context: EntryContext,
  raw: RawRequest,
  writer: ResponseWriter,
) => Promise<void>;

/** The HTTP method that a path accepts, and its handler. */
export interface CallerRoute {
  readonly method: 'GET' | 'POST';
  readonly handle: RouteHandler;
}

const SERVICE_PATH = /^\/v1\/services\/([a-z0-9][a-z0-9._-]{0,62})$/;

const ROUTES: Readonly<Record<string, CallerRoute>> = {
  '/v1/generate': {method: 'POST', handle: serveGenerate},
  '/livez': {method: 'GET', handle: handleLiveness},
  '/readyz': {method: 'GET', handle: handleReadiness},
  '/metrics': {method: 'GET', handle: handleMetrics},
};

/**
 * Finds the route of a request URL; the query string is ignored.
 *
 * @returns undefined when the path is unknown.
 *
 * @example
 * ```ts
 * findRoute('/v1/services/booking')?.method; // 'POST'
 * ```
 */
export function findRoute(url: string): CallerRoute | undefined {
  const path = url.split('?', 1)[0];
  if (Object.hasOwn(ROUTES, path)) return ROUTES[path];
  const service = SERVICE_PATH.exec(path)?.[1];
  if (service === undefined) return undefined;
  return {
    method: 'POST',
    handle: (context, raw, writer) =>
      serveServiceCall(context, service, raw, writer),
  };
}

/** Returns true when the request has a body that must be read. */
export function hasBody(request: IncomingMessage): boolean {
  return request.method === 'POST';
}

async function handleLiveness(
  context: EntryContext,
  raw: RawRequest,
  writer: ResponseWriter,
): Promise<void> {
  writer.writeJson(200, {host: context.settings.host});
}

async function handleReadiness(
  context: EntryContext,
  raw: RawRequest,
  writer: ResponseWriter,
): Promise<void> {
  const isReady =
    context.isAccepting() && context.rulesManager.inForce() !== undefined;
  writer.writeJson(isReady ? 200 : 503, {
    isReady,
    revision: context.rulesManager.status().revision,
  });
}

async function handleMetrics(
  context: EntryContext,
  raw: RawRequest,
  writer: ResponseWriter,
): Promise<void> {
  writer.writeText(200, context.metrics.formatText());
}
