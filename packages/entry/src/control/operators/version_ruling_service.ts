import type {ModelVersion} from '@anvilrudder/core';

/** The evidence and the ruling on one model version. */
export interface VersionStatus extends ModelVersion {
  /** `open`: nobody ruled on it. */
  readonly state: 'open' | 'stopped' | 'allowed';
  /** The host whose test decided, or the operator; empty while open. */
  readonly decidedBy: string;
  readonly reason: string;
  readonly term: number;
  readonly requests: number;
  readonly errors: number;
  readonly ratings: number;
  /** Between 0 and 1; 0 without ratings. */
  readonly meanRating: number;
}

/** A ruling that an operator makes. */
export interface VersionRulingRequest extends ModelVersion {
  readonly state: 'stopped' | 'allowed';
  readonly who: string;
  readonly why: string;
}

/** What operators may see and decide of model versions. */
export interface VersionRulingService {
  list(): readonly VersionStatus[];
  /** Resolves once the ruling is in force here and told to the peers. */
  rule(order: VersionRulingRequest): Promise<VersionStatus>;
}
