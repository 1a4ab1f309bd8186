import {
  compactBatches,
  type CompactionOutcome,
  type MemberId,
  type ObjectStore,
} from '@anvilrudder/core';
import {runStoreProtocol} from '../steps/run_store_protocol.js';

/** Options of {@link createBillingCompactor}. */
export interface BillingCompactorOptions {
  readonly store: ObjectStore;
  readonly member: MemberId;
  /** The shard that this compactor adds up. */
  readonly shard: number;
  /** How long the last batches of a lost entry are kept. */
  readonly retentionMs?: number;
  /** Pages of the listing read by one compaction at most. */
  readonly maxPages?: number;
  readonly nowMs?: () => number;
}

/** Adds batches of records up; run by the holder of the shard's lease. */
export interface BillingCompactor {
  /** Two holders at once do no harm, they only waste calls. */
  compact(): Promise<CompactionOutcome>;
}

const DEFAULTS = {retentionMs: 24 * 3600 * 1000, maxPages: 50} as const;

/**
 * Creates the compactor of one shard.
 *
 * @example
 * ```ts
 * const compactor = createBillingCompactor({store, member, shard: 0});
 * if (lease.current() !== undefined) await compactor.compact();
 * ```
 */
export function createBillingCompactor(
  options: BillingCompactorOptions,
): BillingCompactor {
  const {store, member, shard, retentionMs, maxPages, nowMs} = {
    ...DEFAULTS,
    nowMs: () => performance.now(),
    ...options,
  };
  let compactionCount = 0;
  let countedAtMs: number | undefined;
  return {
    async compact(): Promise<CompactionOutcome> {
      const startedAtMs = nowMs();
      compactionCount += 1;
      const outcome = await runStoreProtocol(
        store,
        compactBatches({
          shard,
          compactionId: `${member.incarnation}/${compactionCount}`,
          elapsedMs: startedAtMs - (countedAtMs ?? startedAtMs),
          retentionMs,
          maxPages,
        }),
      );
      const isTimeCounted = outcome.status === 'folded';
      if (isTimeCounted || countedAtMs === undefined) countedAtMs = startedAtMs;
      return outcome;
    },
  };
}
