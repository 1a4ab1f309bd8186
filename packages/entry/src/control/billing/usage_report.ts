import {
  EMPTY_TOTALS,
  parseTotals,
  resolveTotalsKey,
  sumUsage,
  type ObjectStore,
  type UsageTotals,
} from '@anvilrudder/core';

/**
 * Reads the usage in the totals, keyed by `period/organisation`. It lags the
 * answers by the age of a batch plus the interval between compactions.
 *
 * @throws the error of the object API when the totals of a shard can't be read.
 * @example
 * ```ts
 * const usage = await readUsage(store, shardCount);
 * usage['2026-12/hanbit']?.costMicros;
 * ```
 */
export async function readUsage(
  store: ObjectStore,
  shardCount: number,
): Promise<Readonly<Record<string, UsageTotals>>> {
  const shards = Array.from({length: shardCount}, async (_, shard) => {
    const object = await store.get(resolveTotalsKey(shard));
    return object === undefined ? EMPTY_TOTALS : parseTotals(object.value);
  });
  return sumUsage(await Promise.all(shards));
}
