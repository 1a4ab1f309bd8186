import {formatModelVersion, type ModelVersion} from '../types/identity.js';

/** Whether a version may get work, decided by the test or an operator. */
export interface Ruling extends ModelVersion {
  /** A later ruling of a version has a higher term. */
  readonly term: number;
  readonly state: 'stopped' | 'allowed';
  /** The host whose test decided, or the operator. */
  readonly decidedBy: string;
  readonly reason: string;
}

/** Rulings on versions; merged between entries in any order. */
export class RulingTable {
  private readonly rulings = new Map<string, Ruling>();

  private constructor() {}

  /**
   * Creates an empty ledger.
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
   * Stops a version by the test of a host. After an operator allowed the
   * version, call it only on evidence newer than that ruling.
   */
  stop(version: ModelVersion, decidedBy: string, reason: string): Ruling {
    const known = this.find(version);
    if (known?.state === 'stopped') return known;
    return this.add(version, 'stopped', decidedBy, reason);
  }

  /** Rules by an operator, over any ruling known so far. */
  recordOperatorRuling(
    version: ModelVersion,
    state: Ruling['state'],
    operator: string,
    reason: string,
  ): Ruling {
    return this.add(version, state, operator, reason);
  }

  /**
   * Takes in a ruling of a peer.
   *
   * @returns true when it changed what is known.
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

// Of two rulings of one term the stop wins, then the order of names, so that
// all entries end with the same ruling.
function isLater(a: Ruling, b: Ruling): boolean {
  if (a.term !== b.term) return a.term > b.term;
  if (a.state !== b.state) return a.state === 'stopped';
  return `${a.decidedBy}|${a.reason}` > `${b.decidedBy}|${b.reason}`;
}
