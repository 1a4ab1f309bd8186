import type {Execution} from '@anvilrudder/core';
import type {
  PlannedConfirmation,
  PlannedGeneration,
} from '../workload/workload.js';

/**
 * Result of checking a response.
 *
 * - `whole`: complete and correct.
 * - `incomplete`: tokens are missing, or their indexes or count are wrong.
 * - `foreign`: ids or tokens are not those of the request.
 * - `sessionMoved`: the model or version differs from that of the session.
 */
export type Verdict = 'whole' | 'incomplete' | 'foreign' | 'sessionMoved';

/** The result of one request. */
export interface Outcome {
  /**
   * `ok`, an error code of the target, `status_…` or `malformed_error` for an
   * error of the target without a code, or `client_…` for an error detected by
   * the load tool.
   */
  readonly code: string;
  readonly execution: Execution;
  /** Undefined for failed generations and for service calls. */
  readonly verdict?: Verdict;
  readonly modelVersion?: string;
  readonly tokenCount: number;
}

/** Observes the progress of a generation request. */
export interface RequestObserver {
  /** Called for each token received. */
  onToken(): void;
}

/** A destination of the load. */
export interface Target {
  generate(
    request: PlannedGeneration,
    observer: RequestObserver,
  ): Promise<Outcome>;
  /** Sends one copy of a service call. */
  confirm(request: PlannedConfirmation): Promise<Outcome>;
  close(): Promise<void>;
}
