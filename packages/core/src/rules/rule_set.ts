import type {ModelVersion} from '../types/identity.js';

/** Who asked for a rule and why, from the comment of its line. */
export interface RuleSource {
  readonly line: number;
  readonly who: string;
  readonly why: string;
}

/** `model name= version= cost-per-mtok= quality=` */
export interface ModelRule extends ModelVersion {
  readonly source: RuleSource;
  readonly costPerMtok: number;
  /** Expected quality between 0 and 1 before any rating is known. */
  readonly quality: number;
}

/** Service class of a kind of request; decides the order under load. */
export type Priority = 'low' | 'normal' | 'high';

/** `kind name= quality= deadline-ms= priority= session= ` */
export interface KindRule {
  readonly source: RuleSource;
  readonly name: string;
  readonly qualityTarget: number;
  readonly deadlineMs: number;
  readonly priority: Priority;
  /** True when an answer issues a session token that pins the version. */
  readonly issuesSession: boolean;
}

/** `service name= idempotent= timeout-ms=`: a plain service and its calls. */
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
  /** `*` stands for any. Undefined on a service rule. */
  readonly model: string | undefined;
  readonly version: string | undefined;
  readonly kind: string | undefined;
  readonly service: string | undefined;
}

/** `target organisation= kind= quality=`: overrides the kind's target. */
export interface TargetRule {
  readonly source: RuleSource;
  readonly organisation: string;
  readonly kind: string;
  readonly qualityTarget: number;
}

/** `rollout model= version= share=5%`: share of the model's new work. */
export interface RolloutRule extends ModelVersion {
  readonly source: RuleSource;
  /** Between 0 and 1. */
  readonly share: number;
}

/** `withdraw model= version=` (no new request) or `drain …` (no new session). */
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

/** A checked rule file. */
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
