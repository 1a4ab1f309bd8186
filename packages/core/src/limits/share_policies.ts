/** Usage of an organisation's limit by one entry. */
export interface MemberUse {
  /** Rate of requests that the entry receives, refused ones included. */
  readonly demandPerS: number;
  /** Fraction of the rate limit that the entry uses. */
  readonly share: number;
  /**
   * Fraction of the limit on concurrent requests that the entry has claimed or
   * that its running requests use, whichever is larger.
   */
  readonly concurrentShare: number;
}

/** Demand and share of a limit reported by another entry. */
export interface HeldShare {
  readonly demandPerS: number;
  readonly share: number;
}

/** Input for computing an entry's share of a limit. */
export interface ShareContext {
  /**
   * Rate limit over all entries. Undefined for a limit on concurrent requests,
   * which cannot be compared with demand; shares then depend on demand only.
   */
  readonly limitPerS: number | undefined;
  readonly ownDemandPerS: number;
  /** Share that this entry holds now. */
  readonly ownShare: number;
  /** Number of live entries, including this one. */
  readonly memberCount: number;
  /** Shares reported by the other live entries. */
  readonly others: readonly HeldShare[];
}

/** Computes an entry's share of a limit, between 0 and 1. */
export type SharePolicy = (context: ShareContext) => number;

/** Fraction of a limit that is split evenly if demand exceeds the limit. */
const RESERVED_SHARE = 0.1;

// If the total demand is within the limit, each entry gets its demand plus an
// equal part of the unused rate, so that demand can move to any entry without
// delay. Otherwise a tenth of the limit is split evenly and the rest in
// proportion to demand.
function resolveWantedShare(
  ownDemandPerS: number,
  totalPerS: number,
  limitPerS: number | undefined,
  reportingCount: number,
): number {
  if (totalPerS === 0) return 1 / reportingCount;
  if (limitPerS !== undefined && totalPerS <= limitPerS) {
    const unusedPerS = limitPerS - totalPerS;
    return (ownDemandPerS + unusedPerS / reportingCount) / limitPerS;
  }
  const byDemand = ownDemandPerS / totalPerS;
  return RESERVED_SHARE / reportingCount + (1 - RESERVED_SHARE) * byDemand;
}

// An entry increases its share only up to what the shares of the others leave.
// A member that has not reported its share is assumed to hold an equal part, as
// that is the most it uses itself while it gets no reports from others. An entry
// keeps what it holds of an equal part when the others claim more than the rest,
// as an entry that has ended or just started may be counted wrongly.
function resolveDemandShare(context: ShareContext): number {
  const {ownDemandPerS, memberCount, others} = context;
  const nonReportingCount = Math.max(0, memberCount - 1 - others.length);
  const heldByNonReporting = nonReportingCount / memberCount;
  const heldByOthers = others.reduce((sum, use) => sum + use.share, 0);
  const othersDemand = others.reduce((sum, use) => sum + use.demandPerS, 0);
  const reportingCount = others.length + 1;
  const wanted = resolveWantedShare(
    ownDemandPerS,
    ownDemandPerS + othersDemand,
    context.limitPerS,
    reportingCount,
  );
  const keptShare = Math.min(context.ownShare, 1 / memberCount);
  const availableShare = 1 - heldByOthers - heldByNonReporting;
  return Math.min(
    wanted * (1 - heldByNonReporting),
    Math.max(keptShare, availableShare),
  );
}

/** Share policies, by the name used in settings. */
export const SHARE_POLICIES = {
  'equal-share': ({memberCount}) => 1 / memberCount,
  'demand-share': resolveDemandShare,
  unshared: () => 1,
} as const satisfies Record<string, SharePolicy>;

export type SharePolicyName = keyof typeof SHARE_POLICIES;
