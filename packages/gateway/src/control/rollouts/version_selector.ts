import type {AttemptEnd, ServerRecord, SessionUse} from '@anvilrudder/core';

/** Properties of a request that determine its version. */
export interface VersionKey {
  readonly session: string | undefined;
  /** Used instead of the session if the request has none. */
  readonly stickyKey: string;
  /** Version that an earlier send of the same request went to. */
  readonly previousVersion: string | undefined;
}

/** Why a request goes to a version while several versions run. */
export type VersionBasis =
  /** The rollout has moved all new work to one version. */
  | 'phase'
  /** The new version was found to be bad. */
  | 'foundBad'
  /** A retry avoids the new version, which may be bad. */
  | 'suspected'
  /** An earlier send of the same request went there. */
  | 'sameRequest'
  | 'sampled'
  | 'notSampled'
  /** The session is sampled, but may have begun on the old version. */
  | 'held'
  /** No rollout is known; the version is the one that ran alone before. */
  | 'stable'
  /** The chosen version has no server that the request may go to. */
  | 'noServerLeft'
  /** As above, but the new version must not take the requests of the old one. */
  | 'oldVersionLost'
  /**
   * The chosen version has servers in evacuated failure domains alone, and the
   * request must not go to another version.
   */
  | 'evacuated';

/** The servers that a request may go to, and why. */
export interface VersionSelection {
  readonly records: readonly ServerRecord[];
  /** Undefined if all servers run the same version. */
  readonly basis: VersionBasis | undefined;
  /** New version in place of which the old one is needed, if that is lost. */
  readonly lostBefore?: string;
}

/** The servers among which the version of a request is chosen. */
export interface SelectionLimits {
  /** False for the servers of evacuated failure domains. */
  readonly mayReceive: (record: ServerRecord) => boolean;
  /**
   * The request may go to some servers of the service only, so that the versions
   * of these say nothing of the service.
   */
  readonly isPart: boolean;
}

/** Outcome of one send to a version. */
export interface VersionOutcome {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  /** Undefined if the request's time was over before the answer came. */
  readonly end: AttemptEnd | undefined;
  /** Logarithm of the actual time over the expected time. */
  readonly slowness: number | undefined;
  /** It took far longer than expected; undefined if that is not known. */
  readonly isSlow?: boolean;
}

/** Selects the software version of a service for a request. */
export interface VersionSelector {
  /**
   * Selects the servers that the request may be sent to. The version is chosen
   * among all of them, those that may not receive the request included.
   *
   * @param limits which of the servers it may not be sent to. Default: none.
   */
  select(
    service: string,
    records: readonly ServerRecord[],
    key: VersionKey,
    limits?: SelectionLimits,
  ): VersionSelection;
  /**
   * True for a version that is judged at the moment: expected times must not be
   * learnt from its answers.
   */
  isUnproven(service: string, version: string): boolean;
  /** Records that a request of a session begins or ends at a version. */
  recordSession(use: SessionUse): void;
  /** Records the outcome of a send. */
  recordOutcome(outcome: VersionOutcome): void;
}
