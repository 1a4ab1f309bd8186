import {readObject, type StoreProtocol} from '../steps/store_step.js';
import {
  writeBatch,
  type BillingBatch,
  type PackedBatch,
} from './billing_batch.js';
import {
  EMPTY_TOTALS,
  isBatchSealed,
  parseTotals,
  resolveTotalsKey,
} from './billing_totals.js';

/**
 * Writes the copies of a batch on behalf of a lost entry, unless the totals
 * include the whole batch already. Its links may be deleted by then, so writing
 * it again would store each record twice.
 *
 * @returns `durable` when the copies are not needed any more, `failed` when this
 *   is not certain.
 * @example
 * ```ts
 * const outcome = await runStoreProtocol(store, handOffBatch(batch));
 * ```
 */
export function* handOffBatch(
  batch: BillingBatch | PackedBatch,
): StoreProtocol<'durable' | 'failed'> {
  const read = yield* readObject(resolveTotalsKey(batch.shard));
  if (read.status === 'failed') return 'failed';
  const totals = read.object ? parseTotals(read.object.value) : EMPTY_TOTALS;
  if (isBatchSealed(totals, batch)) return 'durable';
  return yield* writeBatch(batch, 'handOff');
}
