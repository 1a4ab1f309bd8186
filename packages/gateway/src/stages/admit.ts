import {
  RouterError,
  type ForwardOrganisation,
  type ForwardRoute,
  type RoutingTable,
} from '@anvilrudder/core';
import type {ForwardedRequest} from '../ports.js';

/** The route and the organisation of an admitted request. */
export interface AdmittedRoute {
  readonly route: ForwardRoute;
  readonly organisation: ForwardOrganisation | undefined;
}

/** Retry delay for callers of a host that has no configuration yet. */
const NOT_READY_RETRY_MS = 300;

/**
 * Finds the route of a request and the organisation that its key belongs to.
 *
 * @throws RouterError `not_ready`, `not_found` or `unauthenticated`.
 * @example
 * ```ts
 * const {route} = admitRequest(table, request);
 * ```
 */
export function admitRequest(
  table: RoutingTable | undefined,
  request: ForwardedRequest,
): AdmittedRoute {
  if (table === undefined) {
    throw RouterError.create('No configuration has arrived yet.', {
      code: 'not_ready',
      retryAfterMs: NOT_READY_RETRY_MS,
    });
  }
  const route = table.findRoute(request.hostName, readPathname(request.path));
  if (route === undefined) {
    throw RouterError.create('No route matches.', {code: 'not_found'});
  }
  return {route, organisation: authenticate(table, route, request)};
}

function authenticate(
  table: RoutingTable,
  route: ForwardRoute,
  {apiKey}: ForwardedRequest,
): ForwardOrganisation | undefined {
  const organisation =
    apiKey === undefined ? undefined : table.findOrganisation(apiKey);
  if (organisation !== undefined) return organisation;
  if (route.isPublic || !table.needsKeys) return undefined;
  throw RouterError.create('The API key is missing or unknown.', {
    code: 'unauthenticated',
  });
}

function readPathname(path: string): string {
  const query = path.indexOf('?');
  return query < 0 ? path : path.slice(0, query);
}
