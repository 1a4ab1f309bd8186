import {NO_ENGINE_FAULTS, type EngineFaults} from './engine_types.js';

/** The active faults, and the remaining counts of faults that are limited. */
export class EngineFaultState {
  private faults = NO_ENGINE_FAULTS;
  private accumulatedFailRate = 0;

  get current(): EngineFaults {
    return this.faults;
  }

  set(faults: Partial<EngineFaults>): void {
    this.faults = {...this.faults, ...faults};
  }

  /**
   * Tells whether to refuse this request as if the queue were full. Counts the
   * refusal against `refuse`.
   */
  consumeRefusal(): boolean {
    if (this.faults.refuse <= 0) return false;
    this.set({refuse: this.faults.refuse - 1});
    return true;
  }

  /**
   * Returns the number of tokens after which to cut this stream, or undefined
   * if it is not to be cut. Counts the cut against `cutCount`.
   */
  consumeCut(): number | undefined {
    const {cutAfterTokens, cutCount} = this.faults;
    if (cutAfterTokens === null || cutCount === 0) return undefined;
    if (cutCount !== null) this.set({cutCount: cutCount - 1});
    return cutAfterTokens;
  }

  /**
   * Tells whether the next request fails. Failures are spread evenly instead of
   * drawn at random: the rates add up, and each time the sum reaches 1, a
   * request fails and 1 is subtracted.
   */
  shouldFailNext(): boolean {
    this.accumulatedFailRate += this.faults.failRate;
    if (this.accumulatedFailRate < 1) return false;
    this.accumulatedFailRate -= 1;
    return true;
  }
}
