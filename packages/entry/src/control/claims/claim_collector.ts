import {
  advanceRetention,
  collectClaims,
  findExpiredVersion,
  NO_RETENTION_MARKS,
  parseRetention,
  readObject,
  writeObject,
  type CollectionOutcome,
  type WriteOutcome,
  type MemberId,
  type ObjectStore,
  type RetentionMarks,
  type RetentionObservation,
  type StoreProtocol,
} from '@anvilrudder/core';
import {runStoreProtocol} from '../steps/run_store_protocol.js';

/** Options of {@link createClaimCollector}. */
export interface ClaimCollectorOptions {
  readonly store: ObjectStore;
  readonly member: MemberId;
  /** How long a finished claim answers repeats of its call. */
  readonly retentionMs?: number;
  readonly nowMs?: () => number;
}

/** Deletes expired claims; run by the holder of the lease of this duty. */
export interface ClaimCollector {
  /** Goes on with one page of the listing; undefined when the store is out. */
  collect(): Promise<CollectionOutcome | undefined>;
}

/** Object that hands the ages of store versions on to the next holder. */
export const CLAIM_RETENTION_KEY = 'claim-retention';

const DEFAULT_RETENTION_MS = 24 * 3600 * 1000;

/** Ages are written so many times in one retention. */
const MARK_WRITES_PER_RETENTION = 100;

/**
 * Creates the collector of expired claims.
 *
 * @example
 * ```ts
 * const collector = createClaimCollector({store, member});
 * if (lease.current() !== undefined) await collector.collect();
 * ```
 */
export function createClaimCollector(
  options: ClaimCollectorOptions,
): ClaimCollector {
  return StoreClaimCollector.create(options);
}

class StoreClaimCollector implements ClaimCollector {
  private retention: RetentionMarks = NO_RETENTION_MARKS;
  /** When the ages of `retention` were right; undefined before the start. */
  private advancedAtMs: number | undefined;
  private after: string | undefined;
  private writeCount = 0;
  /** Stamp of the last write of the ages by this collector. */
  private stamp: string | undefined;

  private constructor(
    private readonly options: Required<ClaimCollectorOptions>,
  ) {}

  static create(options: ClaimCollectorOptions): StoreClaimCollector {
    return new StoreClaimCollector({
      retentionMs: DEFAULT_RETENTION_MS,
      nowMs: () => performance.now(),
      ...options,
    });
  }

  async collect(): Promise<CollectionOutcome | undefined> {
    const {store, retentionMs} = this.options;
    const expiredVersion = findExpiredVersion(this.retention, retentionMs);
    const protocol = collectClaims(this.after, expiredVersion);
    const outcome = await runStoreProtocol(store, protocol);
    if (outcome.storeVersion === undefined) return undefined;
    this.after = outcome.nextAfter;
    await this.advanceMarks(outcome.storeVersion);
    return outcome;
  }

  /** Ages the marks that the object API holds by the time measured here. */
  private async advanceMarks(storeVersion: number): Promise<void> {
    const {store, member, retentionMs, nowMs} = this.options;
    const now = nowMs();
    const advancedAtMs = this.advancedAtMs ?? now;
    const isDue = now - advancedAtMs >= retentionMs / MARK_WRITES_PER_RETENTION;
    if (this.advancedAtMs !== undefined && !isDue) return;
    this.writeCount += 1;
    const stamp = `${member.incarnation}/${this.writeCount}`;
    const observation = {
      storeVersion,
      elapsedMs: now - advancedAtMs,
      retentionMs,
    };
    const protocol = advanceStoredMarks(observation, stamp, this.stamp);
    const retention = await runStoreProtocol(store, protocol);
    if (retention === undefined) return;
    this.retention = retention;
    this.advancedAtMs = now;
    this.stamp = stamp;
  }
}

/**
 * Two collectors at once must not both count the same time, so time counts
 * only from one write of a collector to its next one.
 */
function* advanceStoredMarks(
  observation: RetentionObservation,
  stamp: string,
  previousStamp: string | undefined,
): StoreProtocol<RetentionMarks | undefined> {
  const read = yield* readObject(CLAIM_RETENTION_KEY);
  if (read.status === 'failed') return undefined;
  const storedMarks = parseRetention(read.object?.value);
  const isOwnInterval = storedMarks.stamp === previousStamp;
  const elapsedMs = isOwnInterval ? observation.elapsedMs : 0;
  const retention = advanceRetention(storedMarks, {...observation, elapsedMs});
  const write: WriteOutcome = yield* writeObject({
    key: CLAIM_RETENTION_KEY,
    value: JSON.stringify({...retention, stamp}),
    condition:
      read.object === undefined
        ? {kind: 'absent'}
        : {kind: 'version', version: read.object.version},
  });
  return write.status === 'written' ? retention : undefined;
}
