import {
  isEligible,
  listRestrictions,
  listUnknownRegions,
  type ForwardOrganisation,
  type ForwardRoute,
  type RegionByDomain,
  type RoutingSnapshot,
} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';

/** Tells whether a request may go to a failure domain. */
export type RegionCheck = (failureDomain: string | undefined) => boolean;

/** Unknown regions that are remembered as logged. */
const MAX_LOGGED = 1000;

/**
 * Keeps requests within the regions that their route and their organisation
 * allow, by the regions of the failure domains in the settings.
 */
export class HomeRegions {
  private readonly logged = new Set<string>();

  private constructor(
    private regionByDomain: RegionByDomain,
    private readonly logger: Logger,
  ) {}

  /**
   * @example
   * ```ts
   * const regions = HomeRegions.create(new Map([['zone-a', 'eu']]), logger);
   * regions.createCheck(route, organisation)?.('zone-a');
   * ```
   */
  static create(regionByDomain: RegionByDomain, logger: Logger): HomeRegions {
    return new HomeRegions(regionByDomain, logger);
  }

  /** Applies changed regions of the failure domains. */
  configure(regionByDomain: RegionByDomain): void {
    this.regionByDomain = regionByDomain;
  }

  /** Returns a check for a request; undefined if it may go everywhere. */
  createCheck(
    route: ForwardRoute,
    organisation: ForwardOrganisation | undefined,
  ): RegionCheck | undefined {
    const restrictions = listRestrictions(route, organisation);
    if (restrictions.length === 0) return undefined;
    return failureDomain =>
      isEligible(failureDomain, restrictions, this.regionByDomain);
  }

  /** Logs each region of a configuration that no failure domain is in, once. */
  logUnknown(snapshot: RoutingSnapshot): void {
    for (const {region, namedBy} of listUnknownRegions(
      snapshot,
      this.regionByDomain,
    )) {
      if (this.logged.has(region) || this.logged.size >= MAX_LOGGED) continue;
      this.logged.add(region);
      this.logger.warn('region_unknown', {region, namedBy});
    }
  }
}
