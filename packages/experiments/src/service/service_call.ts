import type {
  AdmissionPolicyName,
  BudgetPolicyName,
  ModelVersion,
  Priority,
  ServerPolicyName,
} from '@anvilrudder/core';

/** A combination of policies for serving requests. */
export interface ServicePolicy {
  readonly name: string;
  readonly serverPolicy: ServerPolicyName;
  readonly admissionPolicy: AdmissionPolicyName;
  readonly retryPolicy: BudgetPolicyName;
  /** Whether the engine's work is cancelled when the caller disconnects. */
  readonly cancelsAbandonedRequests: boolean;
  /** Whether another allowed version is used when one has no available server. */
  readonly usesFallbackVersions: boolean;
  /** Whether failing or slow servers are ejected. */
  readonly ejectsServers: boolean;
}

/** A request received by an entry. */
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
  /** Called when the call ends without an answer. */
  readonly onFailed: (retryAfterMs: number | undefined) => void;
}
