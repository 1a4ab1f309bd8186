import type {
  AdmissionPolicyName,
  BudgetPolicyName,
  ModelVersion,
  Priority,
  ServerPolicyName,
} from '@anvilrudder/core';

/** Policies that one way of serving uses. */
export interface ServiceWay {
  readonly name: string;
  readonly servers: ServerPolicyName;
  readonly admission: AdmissionPolicyName;
  readonly retries: BudgetPolicyName;
  /** True when engines are told of callers that left. */
  readonly cancels: boolean;
  /** True when another allowed version stands in for one without servers. */
  readonly fallsBack: boolean;
  /** True when servers that fail or lag are taken out. */
  readonly ejects: boolean;
}

/** A request as it reaches an entry. */
export interface ServiceCall {
  readonly id: string;
  readonly versions: readonly ModelVersion[];
  readonly priority: Priority;
  readonly prefixKey: string;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly deadlineMs: number;
  readonly onFirstToken: () => void;
  readonly onDone: () => void;
  /** Ends the call without an answer. */
  readonly onFailed: (retryAfterMs: number | undefined) => void;
}
