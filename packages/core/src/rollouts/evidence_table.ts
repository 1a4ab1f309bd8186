import {
  formatModelVersion,
  type MemberId,
  type ModelVersion,
} from '../types/identity.js';
import {
  ZERO_COUNTERS,
  addCounters,
  addSample,
  mergeCounters,
  subtractCounters,
  type EvidenceSample,
  type VersionCounters,
} from './counters.js';

/** Counters that one member has recorded for one version. */
export interface EvidenceRow {
  /** `host/incarnation`. */
  readonly member: string;
  /** `model@version`. */
  readonly version: string;
  readonly counters: VersionCounters;
}

/** Rows to send to a peer; merging a delta twice or out of order is safe. */
export interface EvidenceDelta {
  readonly rows: readonly EvidenceRow[];
  /** Pass as `afterRevision` when creating the next delta. */
  readonly revision: number;
}

interface RowState {
  readonly row: EvidenceRow;
  readonly revision: number;
}

/** Whether a delta contains only this member's rows or those of all members. */
export type DeltaScope = 'own' | 'all';

/** Formats a member as `host/incarnation`, the form used in rows. */
export function formatMember(member: MemberId): string {
  return `${member.host}/${member.incarnation}`;
}

/**
 * Counters of versions, summed over all entries (a grow-only counter CRDT).
 * Each run of an entry writes only its own rows, and counters never decrease.
 * Merging by the larger value therefore never counts a sample twice, even when
 * deltas are duplicated or reordered and entries restart.
 */
export class EvidenceTable {
  private readonly rows = new Map<string, RowState>();
  private readonly totals = new Map<string, VersionCounters>();
  private readonly retiredMembers = new Set<string>();
  private revision = 0;

  private constructor(private readonly self: string) {}

  /**
   * Creates an empty table for one run of an entry.
   *
   * @example
   * ```ts
   * const table = EvidenceTable.create({host: 'a', incarnation: '1'});
   * table.record({model: 'quick', version: 'v4'}, {requests: 1});
   * ```
   */
  static create(member: MemberId): EvidenceTable {
    return new EvidenceTable(formatMember(member));
  }

  /** Adds a sample observed by this entry. */
  record(version: ModelVersion, sample: EvidenceSample): void {
    const key = formatModelVersion(version);
    const before = this.rows.get(`${this.self}|${key}`)?.row.counters;
    const counters = addSample(before ?? ZERO_COUNTERS, sample);
    this.write({member: this.self, version: key, counters});
  }

  /** Returns the counters of a version summed over all entries. */
  readTotals(version: ModelVersion): VersionCounters {
    return this.totals.get(formatModelVersion(version)) ?? ZERO_COUNTERS;
  }

  /**
   * Creates a delta of the rows that changed after a revision of this table.
   *
   * @param afterRevision 0 for all rows.
   * @param scope `own` if the receiver gets deltas directly from every member;
   *     `all` if it is new or is not connected to some members.
   */
  createDelta(afterRevision: number, scope: DeltaScope = 'all'): EvidenceDelta {
    const rows = [...this.rows.values()]
      .filter(state => state.revision > afterRevision)
      .map(state => state.row)
      .filter(row => scope === 'all' || row.member === this.self);
    return {rows, revision: this.revision};
  }

  /** Merges rows received from a peer, including rows of other entries. */
  merge(delta: EvidenceDelta): void {
    for (const row of delta.rows) {
      if (row.member === this.self) continue;
      if (this.retiredMembers.has(row.member)) continue;
      const known = this.rows.get(`${row.member}|${row.version}`);
      const before = known?.row.counters ?? ZERO_COUNTERS;
      this.write({...row, counters: mergeCounters(before, row.counters)});
    }
  }

  /**
   * Removes the rows of a run that has ended; its counts remain in the totals,
   * and later deltas with its rows are ignored. Call this only after the run
   * has sent nothing for longer than any of its messages can be in transit.
   */
  retireMember(member: MemberId): void {
    const key = formatMember(member);
    if (key === this.self) return;
    this.retiredMembers.add(key);
    for (const [rowKey, {row}] of this.rows) {
      if (row.member === key) this.rows.delete(rowKey);
    }
  }

  /**
   * Stops ignoring the rows of a retired run. Call this only once no peer sends
   * them any more; otherwise they are counted a second time.
   */
  forgetRetiredMember(member: MemberId): void {
    this.retiredMembers.delete(formatMember(member));
  }

  private write(row: EvidenceRow): void {
    const key = `${row.member}|${row.version}`;
    const before = this.rows.get(key)?.row.counters ?? ZERO_COUNTERS;
    const growth = subtractCounters(row.counters, before);
    if (isZero(growth)) return;
    const total = this.totals.get(row.version) ?? ZERO_COUNTERS;
    this.totals.set(row.version, addCounters(total, growth));
    this.revision += 1;
    this.rows.set(key, {row, revision: this.revision});
  }
}

function isZero({requests, errors, ratings, checks}: VersionCounters): boolean {
  return (
    requests === 0 && errors === 0 && ratings.count === 0 && checks.count === 0
  );
}
