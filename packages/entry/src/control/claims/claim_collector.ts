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
  /** How long a finished claim is kept to answer repeated calls. */
  readonly retentionMs?: number;
  readonly nowMs?: () => number;
}

/** Deletes expired claims; run by the holder of the lease for this duty. */
export interface ClaimCollector {
  /**
   * Deletes the expired claims on the next page of the listing.
   *
   * @returns undefined when the object API is unavailable.
   */
  collect(): Promise<CollectionOutcome | undefined>;
}

/** Key of the stored retention marks, which the next lease holder continues. */
export const CLAIM_RETENTION_KEY = 'claim-retention';

const DEFAULT_RETENTION_MS = 24 * 3600 * 1000;

/** Number of times that the marks are written per retention period. */
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
  /** When `retention` was last advanced; undefined before the first time. */
  private advancedAtMs: number | undefined;
  /** Key after which the next page begins; undefined for the first page. */
  private after: string | undefined;
  private writeCount = 0;
  /** Stamp of the last write of the marks by this collector. */
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

  /** Advances the stored marks by the time that this collector measured. */
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
 * Advances the retention marks in the object API. Two concurrent collectors
 * must not both count the same time, so time counts only if this collector
 * wrote the stored marks.
 *
 * @returns undefined when the marks could not be read or written.
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
