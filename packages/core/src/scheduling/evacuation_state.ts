/** Whether the evacuations known to a host may be relied on. */
export type EvacuationKnowledge =
  /** The first list has not arrived. */
  | 'unknown'
  /** The process was paused; the objects must be listed again. */
  | 'outdated'
  /** As `outdated`, and a list that began after the pause is under way. */
  | 'listing'
  | 'known';

/** Change of the evacuated failure domains. */
export interface EvacuationChange {
  readonly begun: readonly string[];
  readonly ended: readonly string[];
}

/**
 * Failure domains that an operator has evacuated, as known to one host.
 *
 * It addresses an evacuation under load: every send of every host has to stop
 * within a bound. A host that does not know the evacuations yet, or whose
 * process was paused for so long that a write may have passed unnoticed, may
 * send nothing until it has listed them. A store that does not respond leaves
 * the last known state in force.
 */
export class EvacuationState {
  private domains: ReadonlySet<string> = new Set();
  private state: EvacuationKnowledge = 'unknown';
  private lastTickMs: number;

  private constructor(
    private readonly maxPauseMs: number,
    nowMs: number,
  ) {
    this.lastTickMs = nowMs;
  }

  /**
   * @param maxPauseMs time between two ticks, in milliseconds, above which the
   *     known evacuations are outdated.
   * @example
   * ```ts
   * const state = EvacuationState.create(2500, performance.now());
   * state.replaceAll(['zone-a']);
   * state.has('zone-a'); // true
   * ```
   */
  static create(maxPauseMs: number, nowMs: number): EvacuationState {
    return new EvacuationState(maxPauseMs, nowMs);
  }

  get knowledge(): EvacuationKnowledge {
    return this.state;
  }

  /** The evacuated failure domains. */
  get failureDomains(): ReadonlySet<string> {
    return this.domains;
  }

  /** True if the servers of a failure domain may not receive requests. */
  has(failureDomain: string): boolean {
    return this.domains.has(failureDomain);
  }

  /** Records a whole list. One that began before a pause does not end it. */
  replaceAll(failureDomains: readonly string[]): EvacuationChange {
    if (this.state !== 'outdated') this.state = 'known';
    return this.setDomains(new Set(failureDomains));
  }

  put(failureDomain: string): EvacuationChange {
    return this.setDomains(new Set([...this.domains, failureDomain]));
  }

  remove(failureDomain: string): EvacuationChange {
    const left = [...this.domains].filter(name => name !== failureDomain);
    return this.setDomains(new Set(left));
  }

  /**
   * Records that a call to the store has failed. After a failed list the last
   * known state applies again; after any other failed call a list follows.
   */
  recordFailure(): void {
    if (this.state === 'listing') this.state = 'known';
    else if (this.state === 'outdated') this.state = 'listing';
  }

  /** Records that a list of the objects begins. */
  recordListing(): void {
    if (this.state === 'outdated') this.state = 'listing';
  }

  /** Records that the process runs; to be called at short intervals. */
  tick(nowMs: number): void {
    this.checkPause(nowMs);
    this.lastTickMs = nowMs;
  }

  /**
   * True if requests may be sent to servers that are not evacuated. A pause is
   * noticed here even if the process has handled no timer since.
   */
  maySend(nowMs: number): boolean {
    this.checkPause(nowMs);
    return this.state === 'known';
  }

  private checkPause(nowMs: number): void {
    if (nowMs - this.lastTickMs <= this.maxPauseMs) return;
    this.lastTickMs = nowMs;
    if (this.state !== 'unknown') this.state = 'outdated';
  }

  private setDomains(domains: ReadonlySet<string>): EvacuationChange {
    const before = this.domains;
    this.domains = domains;
    return {
      begun: [...domains].filter(name => !before.has(name)),
      ended: [...before].filter(name => !domains.has(name)),
    };
  }
}
