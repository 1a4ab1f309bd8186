import type {Finding, RuleSet} from '@anvilrudder/core';

/** The rules that a dispatch must satisfy at this moment. */
export interface RulesInForce {
  readonly revision: number;
  readonly rules: RuleSet;
  /** Rules of an undecided change; a dispatch must satisfy them as well. */
  readonly pendingRules: RuleSet | undefined;
}

/** A rule file offered by an operator. */
export interface ApplyRulesRequest {
  /** Chosen by the caller; repeating a change id repeats its outcome. */
  readonly changeId: string;
  /** The operator who applies the change. */
  readonly who: string;
  readonly why: string;
  readonly content: string;
  /** The revision that the operator edited. */
  readonly baseRevision: number;
  /** Hosts whose fencing the operator vouches for; recorded in the audit. */
  readonly withoutHosts: readonly string[];
}

/** How a change of the rules ended, or that it has not. */
export interface ChangeOutcome {
  readonly changeId: string;
  readonly state: 'accepted' | 'refused' | 'undecided';
  /** The revision of the change once accepted. */
  readonly revision: number;
  readonly reason: string;
  readonly findings: readonly Finding[];
  /** Hosts that did not acknowledge. */
  readonly silentHosts: readonly string[];
}

/** What an entry knows of the rules and of its peers. */
export interface RulesStatus {
  readonly revision: number;
  readonly digest: string;
  readonly pendingChangeId: string | undefined;
  readonly isServing: boolean;
  /** Why the entry serves: by the store, by its peers, or not at all. */
  readonly servesBy: 'store' | 'peers' | 'none';
  readonly confirmedAgeMs: number;
  readonly members: readonly MemberStatus[];
}

/** One member of the deployment as seen from here. */
export interface MemberStatus {
  readonly host: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  /** `ip:port` at which the entry answers its peers. */
  readonly peerAddress: string;
  readonly heardAgeMs: number | undefined;
  readonly revision: number | undefined;
}

/** Keeps the rules in force on this entry and takes part in their changes. */
export interface RulesKeeper {
  /** Undefined while this entry must not dispatch anything. */
  inForce(): RulesInForce | undefined;
  apply(request: ApplyRulesRequest): Promise<ChangeOutcome>;
  findChange(changeId: string): Promise<ChangeOutcome | undefined>;
  /** Text of the rule file of the revision in force. */
  content(): string;
  status(): RulesStatus;
  stop(): Promise<void>;
}
