import type {Execution} from '@anvilrudder/core';
import type {
  PlannedConfirmation,
  PlannedGeneration,
} from '../workload/workload.js';

/** Whether an answer was whole and its own. */
export type Verdict = 'whole' | 'incomplete' | 'foreign' | 'sessionMoved';

/** How one request ended. */
export interface Outcome {
  /** `ok`, an error code of the target, or `client_…` for the tool's own. */
  readonly code: string;
  readonly execution: Execution;
  /** Undefined for an answer that did not end well, or a service call. */
  readonly verdict?: Verdict;
  readonly modelVersion?: string;
  readonly tokenCount: number;
}

/** Told of progress while a request runs. */
export interface RequestObserver {
  /** A token arrived. */
  onToken(): void;
}

/** What the load is sent to. */
export interface Target {
  generate(
    request: PlannedGeneration,
    observer: RequestObserver,
  ): Promise<Outcome>;
  confirm(request: PlannedConfirmation): Promise<Outcome>;
  close(): Promise<void>;
}
