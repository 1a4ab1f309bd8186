import {
  OrganisationLimiter,
  RouterError,
  type LimitHeartbeat,
  type Random,
  type RuleSet,
  type SharePolicyName,
} from '@anvilrudder/core';

/** Options of {@link OrganisationLimits}. */
export interface OrganisationLimitsOptions {
  /** `host/incarnation` of this entry. */
  readonly member: string;
  readonly policy: SharePolicyName;
  readonly random: Random;
}

/** The limits of the rules in force, held together with the other entries. */
export class OrganisationLimits {
  private appliedRules: RuleSet | undefined;
  private lastHeartbeat: LimitHeartbeat;

  private constructor(
    private readonly limiter: OrganisationLimiter,
    member: string,
  ) {
    this.lastHeartbeat = {member, uses: []};
  }

  /**
   * @example
   * ```ts
   * const release = limits.acquire('school-a', rules);
   * release();
   * ```
   */
  static create(options: OrganisationLimitsOptions): OrganisationLimits {
    const limiter = OrganisationLimiter.create(options);
    return new OrganisationLimits(limiter, options.member);
  }

  /** What this entry tells the others of its use. */
  get heartbeat(): LimitHeartbeat {
    return this.lastHeartbeat;
  }

  /**
   * Counts a request; call the returned function when it ends.
   *
   * @throws RouterError `limit_exceeded`.
   */
  acquire(organisation: string, rules: RuleSet): () => void {
    const nowMs = performance.now();
    this.updateRules(rules, nowMs);
    const decision = this.limiter.tryAcquire(organisation, nowMs);
    if (!decision.isAllowed) {
      throw RouterError.create('The organisation is over its limit.', {
        code: 'limit_exceeded',
        retryAfterMs: decision.retryAfterMs,
      });
    }
    let isHeld = true;
    return () => {
      if (isHeld) this.limiter.release(organisation);
      isHeld = false;
    };
  }

  /** Sets the shares anew; to be called once in a heartbeat period. */
  prepareHeartbeat(memberCount: number): void {
    this.lastHeartbeat = this.limiter.prepareHeartbeat(
      memberCount,
      performance.now(),
    );
  }

  /** Takes in the use of another entry. */
  mergeHeartbeat(heartbeat: LimitHeartbeat): void {
    if (heartbeat.member === '') return;
    this.limiter.mergeHeartbeat(heartbeat, performance.now());
  }

  private updateRules(rules: RuleSet, nowMs: number): void {
    if (rules === this.appliedRules) return;
    this.appliedRules = rules;
    this.limiter.updateLimits(rules.limits, nowMs);
  }
}
