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

/** The counters of one member for one version. */
export interface EvidenceRow {
  /** `host/incarnation`. */
  readonly member: string;
  /** `model@version`. */
  readonly version: string;
  readonly counters: VersionCounters;
}

/** Rows to send to a peer; a repeated or reordered delta does no harm. */
export interface EvidenceDelta {
  readonly rows: readonly EvidenceRow[];
  /** Pass it as `afterRevision` the next time. */
  readonly revision: number;
}

interface RowState {
  readonly row: EvidenceRow;
  readonly revision: number;
}

/** Whose rows a delta holds. */
export type DeltaScope = 'own' | 'all';

/** Key of a member in rows. */
export function formatMember(member: MemberId): string {
  return `${member.host}/${member.incarnation}`;
}

/**
 * Evidence on versions, pooled over the entries. Each run of an entry owns
 * its own rows, which only grow, so that merging by the larger value counts
 * nothing twice, through duplicates, reordering and restarts.
 */
export class EvidenceTable {
  private readonly rows = new Map<string, RowState>();
  private readonly totals = new Map<string, VersionCounters>();
  private readonly foldedMembers = new Set<string>();
  private revision = 0;

  private constructor(private readonly self: string) {}

  /**
   * Creates the ledger of one run of an entry.
   *
   * @example
   * ```ts
   * const ledger = EvidenceTable.create({host: 'a', incarnation: '1'});
   * ledger.record({model: 'quick', version: 'v4'}, {requests: 1});
   * ```
   */
  static create(member: MemberId): EvidenceTable {
    return new EvidenceTable(formatMember(member));
  }

  /** Adds what this entry saw. */
  record(version: ModelVersion, sample: EvidenceSample): void {
    const key = formatModelVersion(version);
    const before = this.rows.get(`${this.self}|${key}`)?.row.counters;
    const counters = addSample(before ?? ZERO_COUNTERS, sample);
    this.write({member: this.self, version: key, counters});
  }

  /** Evidence of all entries on a version; each field only grows. */
  readTotals(version: ModelVersion): VersionCounters {
    return this.totals.get(formatModelVersion(version)) ?? ZERO_COUNTERS;
  }

  /**
   * Rows that changed after a revision of this ledger; 0 for all.
   *
   * @param scope `own` among members that all hear each other; `all` for a
   *     member that is new or hears only some.
   */
  createDelta(afterRevision: number, scope: DeltaScope = 'all'): EvidenceDelta {
    const rows = [...this.rows.values()]
      .filter(state => state.revision > afterRevision)
      .map(state => state.row)
      .filter(row => scope === 'all' || row.member === this.self);
    return {rows, revision: this.revision};
  }

  /** Takes in rows of a peer, which may also be rows of third entries. */
  merge(delta: EvidenceDelta): void {
    for (const row of delta.rows) {
      if (row.member === this.self) continue;
      if (this.foldedMembers.has(row.member)) continue;
      const known = this.rows.get(`${row.member}|${row.version}`);
      const before = known?.row.counters ?? ZERO_COUNTERS;
      this.write({...row, counters: mergeCounters(before, row.counters)});
    }
  }

  /**
   * Drops the rows of an ended run and keeps their sums. Call it once the run
   * has been silent for longer than any of its messages can travel.
   */
  retireMember(member: MemberId): void {
    const key = formatMember(member);
    if (key === this.self) return;
    this.foldedMembers.add(key);
    for (const [rowKey, {row}] of this.rows) {
      if (row.member === key) this.rows.delete(rowKey);
    }
  }

  /** Forgets a folded run; only after no peer still sends its rows. */
  forgetFolded(member: MemberId): void {
    this.foldedMembers.delete(formatMember(member));
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
