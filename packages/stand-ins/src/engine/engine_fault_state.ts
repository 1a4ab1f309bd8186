import {NO_ENGINE_FAULTS, type EngineFaults} from './engine_types.js';

/** The faults in force and the counts that they use up. */
export class EngineFaultState {
  private faults = NO_ENGINE_FAULTS;
  private accumulatedFailRate = 0;

  get current(): EngineFaults {
    return this.faults;
  }

  set(faults: Partial<EngineFaults>): void {
    this.faults = {...this.faults, ...faults};
  }

  /** True when this request is to be refused as full. */
  consumeRefusal(): boolean {
    if (this.faults.refuse <= 0) return false;
    this.set({refuse: this.faults.refuse - 1});
    return true;
  }

  /** The token count at which this stream is cut; undefined for never. */
  consumeCut(): number | undefined {
    const {cutAfterTokens, cutCount} = this.faults;
    if (cutAfterTokens === null || cutCount === 0) return undefined;
    if (cutCount !== null) this.set({cutCount: cutCount - 1});
    return cutAfterTokens;
  }

  /** Spreads failures evenly: the n-th request fails when n × rate is whole. */
  shouldFailNext(): boolean {
    this.accumulatedFailRate += this.faults.failRate;
    if (this.accumulatedFailRate < 1) return false;
    this.accumulatedFailRate -= 1;
    return true;
  }
}
