import type {Finding, RuleSet} from '@anvilrudder/core';

/** The rules that each dispatch must satisfy now. */
export interface RulesInForce {
  readonly revision: number;
  readonly rules: RuleSet;
  /** Rules of a pending change; a dispatch must satisfy them as well. */
  readonly pendingRules: RuleSet | undefined;
}

/** An operator's request to put a rule file in force. */
export interface ApplyRulesRequest {
  /** Chosen by the caller; the id of a decided change returns its outcome. */
  readonly changeId: string;
  /** The operator who applies the change. */
  readonly who: string;
  readonly why: string;
  readonly content: string;
  /** The revision on which the operator's edit is based. */
  readonly baseRevision: number;
  /**
   * Hosts to remove from the members and to leave out of the majority, because
   * the operator confirms that they are fenced. Recorded in the pending change.
   */
  readonly withoutHosts: readonly string[];
}

/** The outcome of a change of the rules; `undecided` while it is unknown. */
export interface ChangeOutcome {
  readonly changeId: string;
  readonly state: 'accepted' | 'refused' | 'undecided';
  /** The revision of the change once it is accepted. */
  readonly revision: number;
  readonly reason: string;
  readonly findings: readonly Finding[];
  /** Hosts that did not acknowledge the change. */
  readonly silentHosts: readonly string[];
}

/** The state of the rules and of the members, as this entry knows it. */
export interface RulesStatus {
  readonly revision: number;
  readonly digest: string;
  readonly pendingChangeId: string | undefined;
  readonly isServing: boolean;
  /**
   * What the right to serve is based on: a confirmation by the store, answers
   * of peers, or nothing when the entry must not serve.
   */
  readonly servesBy: 'store' | 'peers' | 'none';
  readonly confirmedAgeMs: number;
  readonly members: readonly MemberStatus[];
}

/** One member of the deployment, as this entry knows it. */
export interface MemberStatus {
  readonly host: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  /** `ip:port` at which the entry answers its peers. */
  readonly peerAddress: string;
  /** Time since the member was last heard from; undefined if it never was. */
  readonly heardAgeMs: number | undefined;
  /** Undefined unless the member acknowledged the head that is known here. */
  readonly revision: number | undefined;
}

/** Provides the rules in force on an entry and takes part in their changes. */
export interface RulesManager {
  /** Returns undefined while this entry must not dispatch requests. */
  inForce(): RulesInForce | undefined;
  /** Proposes a rule file and waits for the outcome for a limited time. */
  apply(request: ApplyRulesRequest): Promise<ChangeOutcome>;
  /** Finds the outcome of a change; undefined if the change is not known. */
  findChange(changeId: string): Promise<ChangeOutcome | undefined>;
  /** Returns the text of the rule file in force, or an empty string. */
  content(): string;
  status(): RulesStatus;
  /** Leaves the members if possible, then stops all background work. */
  stop(): Promise<void>;
}
