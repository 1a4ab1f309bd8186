import type {ModelVersion} from '@anvilrudder/core';

/** The ruling on one model version, and the evidence about the version. */
export interface VersionStatus extends ModelVersion {
  /** `open`: there is no ruling on the version. */
  readonly state: 'open' | 'stopped' | 'allowed';
  /** Host whose test decided, or name of the operator; empty while `open`. */
  readonly decidedBy: string;
  readonly reason: string;
  /** Increases with each ruling on the version. */
  readonly term: number;
  readonly requests: number;
  readonly errors: number;
  readonly ratings: number;
  /** Between 0 and 1; 0 without ratings. */
  readonly meanRating: number;
}

/** A ruling requested by an operator. */
export interface VersionRulingRequest extends ModelVersion {
  readonly state: 'stopped' | 'allowed';
  readonly who: string;
  readonly why: string;
}

/** Lets operators list the status of model versions and rule on them. */
export interface VersionRulingService {
  list(): readonly VersionStatus[];
  /** Resolves once the ruling is in force here and was sent to the peers. */
  rule(order: VersionRulingRequest): Promise<VersionStatus>;
}
