import type {
  ForwardOrganisation,
  ForwardRoute,
  RoutingSnapshot,
} from '../forwarding/exchange_types.js';

/** Region of each failure domain. */
export type RegionByDomain = ReadonlyMap<string, string>;

/** The lists of regions that bind a request; a region has to be in each. */
export type RegionRestrictions = readonly (readonly string[])[];

/** A region that a configuration names and no failure domain is in. */
export interface UnknownRegion {
  readonly region: string;
  /** Name of the route or the organisation. */
  readonly namedBy: string;
}

/**
 * Lists the restrictions of a request by its route and its organisation.
 *
 * It addresses requests that arrive anywhere, or are moved elsewhere under load:
 * neither the host that the caller chose nor the load of the servers widens the
 * regions.
 *
 * @example
 * ```ts
 * const restrictions = listRestrictions(route, organisation);
 * isEligible('zone-a', restrictions, new Map([['zone-a', 'eu']]));
 * ```
 */
export function listRestrictions(
  route: ForwardRoute,
  organisation: ForwardOrganisation | undefined,
): RegionRestrictions {
  return [route.allowedRegions, organisation?.allowedRegions].filter(
    regions => regions !== undefined,
  );
}

/**
 * True if a request with these restrictions may go to a failure domain. One
 * without a known region is eligible only if there is no restriction.
 */
export function isEligible(
  failureDomain: string | undefined,
  restrictions: RegionRestrictions,
  regionByDomain: RegionByDomain,
): boolean {
  if (restrictions.length === 0) return true;
  const region = regionByDomain.get(failureDomain ?? '');
  if (region === undefined) return false;
  return restrictions.every(regions => regions.includes(region));
}

/** True if a configuration restricts any request to regions. */
export function hasRestrictions({
  routes,
  organisations,
}: RoutingSnapshot): boolean {
  return [...routes, ...organisations].some(
    ({allowedRegions}) => allowedRegions !== undefined,
  );
}

/** Lists the regions of a configuration that no failure domain is in. */
export function listUnknownRegions(
  {routes, organisations}: RoutingSnapshot,
  regionByDomain: RegionByDomain,
): readonly UnknownRegion[] {
  const known = new Set(regionByDomain.values());
  return [...routes, ...organisations].flatMap(
    ({name: namedBy, allowedRegions = []}) =>
      allowedRegions
        .filter(region => !known.has(region))
        .map(region => ({region, namedBy})),
  );
}
