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
  /** The shard that this compactor maintains the totals of. */
  readonly shard: number;
  /** Retention period of the last batches of a lost entry. */
  readonly retentionMs?: number;
  /** Maximum number of listing pages that one compaction reads. */
  readonly maxPages?: number;
  readonly nowMs?: () => number;
}

/** Adds batches to the totals; run by the holder of the shard's lease. */
export interface BillingCompactor {
  /**
   * Runs one compaction. Concurrent compactions of one shard are safe; they
   * only waste calls to the object API.
   */
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
  let previousId: string | undefined;
  let previousAtMs = 0;
  return {
    async compact(): Promise<CompactionOutcome> {
      const startedAtMs = nowMs();
      compactionCount += 1;
      const compactionId = `${member.incarnation}/${compactionCount}`;
      const protocol = compactBatches({
        shard,
        compactionId,
        previousId,
        elapsedMs: startedAtMs - previousAtMs,
        retentionMs,
        maxPages,
      });
      const outcome = await runStoreProtocol(store, protocol);
      if (outcome.status === 'folded') {
        previousId = compactionId;
        previousAtMs = startedAtMs;
      }
      return outcome;
    },
  };
}
