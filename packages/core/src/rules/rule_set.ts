import type {ModelVersion} from '../types/identity.js';

/** The line of a rule, and from its comment who asked for it and why. */
export interface RuleSource {
  readonly line: number;
  readonly who: string;
  readonly why: string;
}

/** `model name= version= cost-per-mtok= quality=` */
export interface ModelRule extends ModelVersion {
  readonly source: RuleSource;
  readonly costPerMtok: number;
  /** Expected quality between 0 and 1, before there are any ratings. */
  readonly quality: number;
}

/** Priority of a kind of request; determines the order of service under load. */
export type Priority = 'low' | 'normal' | 'high';

/** `kind name= quality= deadline-ms= priority= session=` */
export interface KindRule {
  readonly source: RuleSource;
  readonly name: string;
  readonly qualityTarget: number;
  readonly deadlineMs: number;
  readonly priority: Priority;
  /** True when responses carry a session token that pins the version. */
  readonly issuesSession: boolean;
}

/** `service name= idempotent= timeout-ms=`: a service without models. */
export interface ServiceRule {
  readonly source: RuleSource;
  readonly name: string;
  readonly isIdempotent: boolean;
  readonly timeoutMs: number;
}

/** `allow organisation= model= version= kind=` or `allow organisation= service=` */
export interface AllowRule {
  readonly source: RuleSource;
  readonly organisation: string;
  /** `*` matches any model. Undefined on a service rule. */
  readonly model: string | undefined;
  readonly version: string | undefined;
  readonly kind: string | undefined;
  readonly service: string | undefined;
}

/** `target organisation= kind= quality=`: overrides the kind's `quality`. */
export interface TargetRule {
  readonly source: RuleSource;
  readonly organisation: string;
  readonly kind: string;
  readonly qualityTarget: number;
}

/** `rollout model= version= share=5%`: the version's share of new work. */
export interface RolloutRule extends ModelVersion {
  readonly source: RuleSource;
  /** Share of the model's new work, between 0 and 1. */
  readonly share: number;
}

/**
 * `withdraw model= version=` stops all requests to the version;
 * `drain model= version=` stops new sessions only.
 */
export interface StopRule extends ModelVersion {
  readonly source: RuleSource;
}

/** `limit organisation= requests-per-s= burst= concurrent=` */
export interface LimitRule {
  readonly source: RuleSource;
  readonly organisation: string;
  readonly requestsPerS: number;
  readonly burst: number;
  readonly concurrent: number;
}

/** `cascade kind= models=quick,deep`: models to try, cheapest first. */
export interface CascadeRule {
  readonly source: RuleSource;
  readonly kind: string;
  readonly models: readonly string[];
}

/** The rules of a file that has no errors. */
export interface RuleSet {
  readonly models: readonly ModelRule[];
  readonly kinds: readonly KindRule[];
  readonly services: readonly ServiceRule[];
  readonly allows: readonly AllowRule[];
  readonly targets: readonly TargetRule[];
  readonly rollouts: readonly RolloutRule[];
  readonly withdrawals: readonly StopRule[];
  readonly drains: readonly StopRule[];
  readonly limits: readonly LimitRule[];
  readonly cascades: readonly CascadeRule[];
}
