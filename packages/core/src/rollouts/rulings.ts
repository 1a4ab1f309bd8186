import {formatModelVersion, type ModelVersion} from '../types/identity.js';

/**
 * Decision on whether a version may receive requests, made by the rollout test
 * of a host or by an operator.
 */
export interface Ruling extends ModelVersion {
  /** Increases with each ruling on the version; the highest term applies. */
  readonly term: number;
  readonly state: 'stopped' | 'allowed';
  /** Name of the host whose test decided, or of the operator. */
  readonly decidedBy: string;
  readonly reason: string;
}

/**
 * The latest ruling on each version. Entries exchange rulings and reach the
 * same state in whatever order they merge them.
 */
export class RulingTable {
  private readonly rulings = new Map<string, Ruling>();

  private constructor() {}

  /**
   * Creates an empty table.
   *
   * @example
   * ```ts
   * const rulings = RulingTable.create();
   * rulings.stop({model: 'quick', version: 'v4'}, 'entry-1', 'errors');
   * ```
   */
  static create(): RulingTable {
    return new RulingTable();
  }

  /**
   * Stops a version on behalf of a host's rollout test; returns the existing
   * ruling if the version is already stopped. After an operator has allowed the
   * version, call this only on evidence that is newer than the operator's
   * ruling.
   */
  stop(version: ModelVersion, decidedBy: string, reason: string): Ruling {
    const known = this.find(version);
    if (known?.state === 'stopped') return known;
    return this.add(version, 'stopped', decidedBy, reason);
  }

  /** Records an operator's decision, which replaces any ruling known so far. */
  recordOperatorRuling(
    version: ModelVersion,
    state: Ruling['state'],
    operator: string,
    reason: string,
  ): Ruling {
    return this.add(version, state, operator, reason);
  }

  /**
   * Merges a ruling received from a peer.
   *
   * @returns true if it replaced the ruling known so far or is the first one on
   *     its version.
   */
  merge(ruling: Ruling): boolean {
    const known = this.find(ruling);
    if (known !== undefined && !isLater(ruling, known)) return false;
    this.rulings.set(formatModelVersion(ruling), ruling);
    return true;
  }

  find(version: ModelVersion): Ruling | undefined {
    return this.rulings.get(formatModelVersion(version));
  }

  isStopped(version: ModelVersion): boolean {
    return this.find(version)?.state === 'stopped';
  }

  list(): readonly Ruling[] {
    return [...this.rulings.values()];
  }

  private add(
    {model, version}: ModelVersion,
    state: Ruling['state'],
    decidedBy: string,
    reason: string,
  ): Ruling {
    const term = (this.find({model, version})?.term ?? 0) + 1;
    const ruling = {model, version, term, state, decidedBy, reason};
    this.rulings.set(formatModelVersion(ruling), ruling);
    return ruling;
  }
}

// Between two rulings of the same term, `stopped` wins; remaining ties are
// broken by comparing the texts, so that all entries converge on the same
// ruling.
function isLater(a: Ruling, b: Ruling): boolean {
  if (a.term !== b.term) return a.term > b.term;
  if (a.state !== b.state) return a.state === 'stopped';
  return `${a.decidedBy}|${a.reason}` > `${b.decidedBy}|${b.reason}`;
}
