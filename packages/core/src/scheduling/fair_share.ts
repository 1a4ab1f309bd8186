/** Requests that share capacity with others, such as one organisation's kind. */
export interface FlowDemand {
  readonly key: string;
  /** Part of scarce capacity relative to the other flows. */
  readonly weight: number;
  readonly priority: number;
  /** Work offered, rejected requests included, in ms of server time per s. */
  readonly demand: number;
}

/** Recent demand of the flows of one service at this host; bounded in size. */
export class FlowDemands {
  private readonly flows = new Map<string, MutableFlow>();

  private constructor() {}

  /**
   * @example
   * ```ts
   * const demands = FlowDemands.create();
   * demands.record({key: 'org-1 chat', weight: 4, priority: 1}, 80, nowMs);
   * ```
   */
  static create(): FlowDemands {
    return new FlowDemands();
  }

  /** Records that a request of a flow was offered. */
  record(
    {key, weight, priority}: Omit<FlowDemand, 'demand'>,
    workMs: number,
    nowMs: number,
  ): void {
    const known = this.flows.get(key);
    const workSum = known === undefined ? 0 : decay(known, nowMs);
    // The map keeps the order of the last request, for the eviction.
    this.flows.delete(key);
    const updatedMs = nowMs;
    this.flows.set(key, {
      weight,
      priority,
      workSum: workSum + workMs,
      updatedMs,
    });
    if (this.flows.size <= MAX_FLOWS) return;
    const oldest = this.flows.keys().next().value;
    if (oldest !== undefined) this.flows.delete(oldest);
  }

  /** Lists the flows with recent demand. */
  list(nowMs: number): readonly FlowDemand[] {
    return [...this.flows].map(([key, flow]) => ({
      key,
      weight: flow.weight,
      priority: flow.priority,
      demand: decay(flow, nowMs) * DEMAND_PER_SUM,
    }));
  }
}

interface MutableFlow {
  readonly weight: number;
  readonly priority: number;
  /** Work offered, decayed to `updatedMs`. */
  readonly workSum: number;
  readonly updatedMs: number;
}

/** Flows beyond this number share no memory; the least recent one is evicted. */
const MAX_FLOWS = 256;
const DEMAND_HALF_LIFE_MS = 2000;
/** A sum that decays with a half-life has this rate per s in the steady state. */
const DEMAND_PER_SUM = (Math.LN2 * 1000) / DEMAND_HALF_LIFE_MS;

function decay({workSum, updatedMs}: MutableFlow, nowMs: number): number {
  return workSum * 0.5 ** ((nowMs - updatedMs) / DEMAND_HALF_LIFE_MS);
}

/** Least share of the mean served share that each flow gets. */
const MIN_SHARE_OF_MEAN = 0.25;

/**
 * Divides scarce capacity among flows by weight: a flow that demands less than
 * its part is served in full, and the rest of its part goes to the others. A
 * flow at several times its usual demand thus loses the most. No flow gets less
 * than a quarter of the mean served share.
 *
 * @param capacity in the unit of the demands.
 * @returns the share of the requests to serve, by key, for flows below 1.
 * @example
 * ```ts
 * const flow = {weight: 1, priority: 0};
 * computeServedShares(
 *   [{...flow, key: 'a', demand: 60}, {...flow, key: 'b', demand: 10}],
 *   40,
 * ); // Map {'a' => 0.5}
 * ```
 */
export function computeServedShares(
  flows: readonly FlowDemand[],
  capacity: number,
): ReadonlyMap<string, number> {
  const total = flows.reduce((sum, {demand}) => sum + demand, 0);
  const shares = new Map<string, number>();
  if (total <= capacity) return shares;
  const minShare = (MIN_SHARE_OF_MEAN * capacity) / total;
  const ordered = [...flows].sort(
    (a, b) => a.demand / a.weight - b.demand / b.weight,
  );
  let leftCapacity = capacity;
  let leftWeight = flows.reduce((sum, {weight}) => sum + weight, 0);
  for (const {key, weight, demand} of ordered) {
    const part = Math.min(demand, (leftCapacity * weight) / leftWeight);
    leftCapacity -= part;
    leftWeight -= weight;
    if (part < demand) shares.set(key, Math.max(minShare, part / demand));
  }
  return shares;
}
