import type {AttemptEnd, ServerRecord} from '@anvilrudder/core';

/** Properties of a request that determine its version. */
export interface VersionKey {
  readonly session: string | undefined;
  /** Used instead of the session if the request has none. */
  readonly stickyKey: string;
  /** Version that an earlier send of the same request went to. */
  readonly previousVersion: string | undefined;
}

/** Outcome of one send to a version. */
export interface VersionOutcome {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly end: AttemptEnd;
  /** Logarithm of the actual time over the expected time. */
  readonly slowness: number | undefined;
}

/** Selects the software version of a service for a request. */
export interface VersionSelector {
  /** Returns the servers whose version the request may be sent to. */
  select(
    service: string,
    records: readonly ServerRecord[],
    key: VersionKey,
  ): readonly ServerRecord[];
  /** Records that a request of a session was sent to a version. */
  recordSend(session: string, version: string): void;
  /** Records the outcome of a send. */
  recordOutcome(outcome: VersionOutcome): void;
}
