import {
  deleteObject,
  listObjects,
  type StoreProtocol,
} from '../steps/store_step.js';
import {CLAIM_PREFIX, parseClaim} from './claim.js';

/** Outcome of one bounded collection. */
export interface CollectionOutcome {
  readonly deletedCount: number;
  /** Claims without a known outcome; they are never collected. */
  readonly unresolvedCount: number;
  /** Where the next collection goes on; undefined after the last page. */
  readonly nextAfter: string | undefined;
  /** Version of the store when it was listed; undefined when it was out. */
  readonly storeVersion: number | undefined;
}

/**
 * Deletes expired claims from one page of the listing. Claims that may have
 * run without a recorded outcome stay, so that their key never runs again.
 */
export function* collectClaims(
  after: string | undefined,
  expiredVersion: number,
): StoreProtocol<CollectionOutcome> {
  const list = yield* listObjects(CLAIM_PREFIX, after);
  if (list.status === 'failed') {
    return {
      deletedCount: 0,
      unresolvedCount: 0,
      nextAfter: after,
      storeVersion: undefined,
    };
  }
  let deletedCount = 0;
  let unresolvedCount = 0;
  for (const object of list.page.objects) {
    const state = parseClaim(object.value)?.state;
    if (state !== 'answered' && state !== 'released') {
      unresolvedCount += 1;
      continue;
    }
    if (object.version > expiredVersion) continue;
    const isDeleted = yield* deleteObject(object.key, object.version);
    if (isDeleted) deletedCount += 1;
  }
  const {nextAfter, storeVersion} = list.page;
  return {deletedCount, unresolvedCount, nextAfter, storeVersion};
}
