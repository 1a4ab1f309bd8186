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

/**
 * Enforces this entry's share of the organisation limits in the rules. The
 * shares depend on the usage that all entries report to each other.
 */
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
   * Creates the limits; they are read from the rules on each {@link acquire}.
   *
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

  /** Usage of this entry, to be sent to the other entries. */
  get heartbeat(): LimitHeartbeat {
    return this.lastHeartbeat;
  }

  /**
   * Counts a request against the limit of its organisation.
   *
   * @returns a function to call when the request ends; further calls have no
   *     effect.
   * @throws RouterError `limit_exceeded` when the limit is reached.
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

  /**
   * Recomputes this entry's shares and its heartbeat. Call this once per
   * heartbeat period.
   *
   * @param memberCount Number of live entries, this one included.
   */
  prepareHeartbeat(memberCount: number): void {
    this.lastHeartbeat = this.limiter.prepareHeartbeat(
      memberCount,
      performance.now(),
    );
  }

  /** Records the usage reported by another entry. */
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
