import type {
  ForwardOrganisation,
  ForwardRoute,
  ForwardService,
  RouteDestination,
  RoutingSnapshot,
} from './exchange_types.js';

/** Routes, services and API keys of one snapshot, indexed for lookup. */
export class RoutingTable {
  private readonly routesByHost = new Map<string, ForwardRoute[]>();
  private readonly servicesByName = new Map<string, ForwardService>();
  private readonly organisationsByKey = new Map<string, ForwardOrganisation>();

  private constructor(readonly snapshot: RoutingSnapshot) {
    for (const route of snapshot.routes) this.addRoute(route);
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const service of snapshot.services) {
      this.servicesByName.set(service.name, service);
    }
    for (const organisation of snapshot.organisations) {
      for (const key of organisation.callerKeys) {
        this.organisationsByKey.set(key, organisation);
      }
    }
  }

  /**
   * Indexes a snapshot.
   *
   * @example
   * ```ts
   * const table = RoutingTable.create(snapshot);
   * table.findRoute('api.example', '/v1/x')?.name;
   * ```
   */
  static create(snapshot: RoutingSnapshot): RoutingTable {
    return new RoutingTable(snapshot);
  }

  get version(): number {
    return this.snapshot.version;
  }

  /** True when callers need an API key. */
  get needsKeys(): boolean {
    return this.snapshot.organisations.length > 0;
  }

  /**
   * Finds the route with the longest prefix that matches a path.
   *
   * @param path path without the query string.
   */
  findRoute(hostName: string, path: string): ForwardRoute | undefined {
    const routes = this.routesByHost.get(normalizeHostName(hostName));
    return routes?.find(({pathPrefix}) => path.startsWith(pathPrefix));
  }

  findService(name: string): ForwardService | undefined {
    return this.servicesByName.get(name);
  }

  findOrganisation(apiKey: string): ForwardOrganisation | undefined {
    return this.organisationsByKey.get(apiKey);
  }

  private addRoute(route: ForwardRoute): void {
    const hostName = normalizeHostName(route.hostName);
    const routes = this.routesByHost.get(hostName);
    if (routes === undefined) this.routesByHost.set(hostName, [route]);
    else routes.push(route);
  }
}

function normalizeHostName(hostName: string): string {
  const port = hostName.lastIndexOf(':');
  const name = port < 0 ? hostName : hostName.slice(0, port);
  return name.toLowerCase();
}

/**
 * Picks a destination by weight.
 *
 * @param point in [0, 1); the same point gives the same destination.
 * @example
 * ```ts
 * pickDestination([{service: 'a', weight: 9}, {service: 'b', weight: 1}], 0.95); // 'b'
 * ```
 */
export function pickDestination(
  destinations: readonly RouteDestination[],
  point: number,
): string | undefined {
  const total = destinations.reduce((sum, {weight}) => sum + weight, 0);
  let left = point * total;
  for (const {service, weight} of destinations) {
    left -= weight;
    if (left < 0) return service;
  }
  return destinations.at(-1)?.service;
}
