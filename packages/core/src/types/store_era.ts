/** A change of the era of a store. */
export interface EraChange {
  readonly era: number;
  readonly previous: number;
}

/** How the era of a response relates to the newest known one. */
export type EraReading = 'current' | 'changed' | 'outdated';

/** Called when the era has changed, before the response is used. */
export type EraListener = (change: EraChange) => void;

/**
 * The era of a store, which rises each time the store returns from an older
 * copy of its contents. Writes acknowledged after that copy are lost, and their
 * versions are assigned again, so versions of two eras cannot be compared.
 */
export class StoreEra {
  private era: number | undefined;
  private readonly listeners = new Set<EraListener>();

  private constructor() {}

  /**
   * @example
   * ```ts
   * const era = StoreEra.create();
   * const known = era.current;
   * era.record(2, known); // 'current', as no other era was known
   * ```
   */
  static create(): StoreEra {
    return new StoreEra();
  }

  /** Undefined until a response has told it. */
  get current(): number | undefined {
    return this.era;
  }

  /**
   * Calls a listener at each change.
   *
   * @returns a function that removes the listener.
   */
  onChange(listener: EraListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Records the era of a response. A lower era than the known one belongs to a
   * call made before the change, and its response is outdated. If the call was
   * made after the change, the known era was wrong, and the lower one is used.
   *
   * @param era era of the response; a non-negative integer.
   * @param knownAtCall the known era when the call was made.
   */
  record(era: number, knownAtCall: number | undefined): EraReading {
    const previous = this.era;
    if (previous === undefined) {
      this.era = era;
      return 'current';
    }
    if (era === previous) return 'current';
    if (era < previous && knownAtCall !== previous) return 'outdated';
    this.era = era;
    for (const listener of this.listeners) listener({era, previous});
    return 'changed';
  }
}
