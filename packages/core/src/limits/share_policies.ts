/** The use that one entry makes of an organisation's limit. */
export interface MemberUse {
  /** Requests a second that callers ask of the entry. */
  readonly demandPerS: number;
  /** Part of the rate that the entry takes. */
  readonly share: number;
  /**
   * Part of the requests at once that the entry takes or still has running,
   * whichever is more.
   */
  readonly concurrentShare: number;
}

/** The part of a limit that another entry holds. */
export interface HeldShare {
  readonly demandPerS: number;
  readonly share: number;
}

/** What an entry knows when it sets its share of a limit. */
export interface ShareContext {
  /**
   * The limit over all entries; undefined when demand can't be told from it,
   * so that shares follow demand alone.
   */
  readonly limitPerS: number | undefined;
  readonly ownDemandPerS: number;
  /** Live entries, this one included. */
  readonly memberCount: number;
  /** The other live entries that have been heard. */
  readonly others: readonly HeldShare[];
}

/** Sets an entry's share of a limit. */
export type SharePolicy = (context: ShareContext) => number;

const RESERVED_SHARE = 0.1;

// Demand below the limit is met, and what is left is split evenly, so that
// demand can move to any entry at once. Above the limit, a tenth is split
// evenly and the rest follows demand.
function resolveWantedShare(
  ownDemandPerS: number,
  totalPerS: number,
  limitPerS: number | undefined,
  heardCount: number,
): number {
  if (totalPerS === 0) return 1 / heardCount;
  if (limitPerS !== undefined && totalPerS <= limitPerS) {
    const leftPerS = limitPerS - totalPerS;
    return (ownDemandPerS + leftPerS / heardCount) / limitPerS;
  }
  const byDemand = ownDemandPerS / totalPerS;
  return RESERVED_SHARE / heardCount + (1 - RESERVED_SHARE) * byDemand;
}

// An entry takes more only as far as the shares that the
// others hold leave room. A member that is not heard may hold an equal part,
// which is all that it takes itself when it hears nobody.
function resolveDemandShare(context: ShareContext): number {
  const {ownDemandPerS, memberCount, others} = context;
  const silentCount = Math.max(0, memberCount - 1 - others.length);
  const heldBySilent = silentCount / memberCount;
  const heldByOthers = others.reduce((sum, use) => sum + use.share, 0);
  const othersDemand = others.reduce((sum, use) => sum + use.demandPerS, 0);
  const heardCount = others.length + 1;
  const wanted = resolveWantedShare(
    ownDemandPerS,
    ownDemandPerS + othersDemand,
    context.limitPerS,
    heardCount,
  );
  const room = Math.max(0, 1 - heldByOthers - heldBySilent);
  return Math.min(wanted * (1 - heldBySilent), room);
}

/** The policies that settings can name. */
export const SHARE_POLICIES = {
  'equal-share': ({memberCount}) => 1 / memberCount,
  'demand-share': resolveDemandShare,
  unshared: () => 1,
} as const satisfies Record<string, SharePolicy>;

export type SharePolicyName = keyof typeof SHARE_POLICIES;
