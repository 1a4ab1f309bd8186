import {
  deleteObject,
  listObjects,
  type StoreProtocol,
} from '../steps/store_step.js';
import {CLAIM_PREFIX, parseClaim} from './claim.js';

/** Outcome of {@link collectClaims} for one page. */
export interface CollectionOutcome {
  readonly deletedCount: number;
  /** Claims without a known outcome; they are never collected. */
  readonly unresolvedCount: number;
  /** Key after which the next collection continues; undefined at the end. */
  readonly nextAfter: string | undefined;
  /** Store version at the listing; undefined when the listing failed. */
  readonly storeVersion: number | undefined;
}

/**
 * Deletes the expired claims on one page of the listing. Claims whose call may
 * have run without a recorded outcome are kept, so that no call runs again
 * under their key.
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
