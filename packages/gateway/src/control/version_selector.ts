import type {AttemptEnd, ServerRecord} from '@anvilrudder/core';

/** Whose request it is, as far as versions are concerned. */
export interface VersionKey {
  readonly session: string | undefined;
  /** Stands in for the session of a request that has none. */
  readonly stickyKey: string;
  /** Version that an earlier send of the same request reached. */
  readonly previousVersion: string | undefined;
}

/** What one send says of the version that it reached. */
export interface VersionOutcome {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly end: AttemptEnd;
  /** Logarithm of the time taken over the time expected. */
  readonly slowness: number | undefined;
}

/** Decides which software versions of a service a request may reach. */
export interface VersionSelector {
  /** Keeps the servers that a request may be sent to. */
  select(
    service: string,
    records: readonly ServerRecord[],
    key: VersionKey,
  ): readonly ServerRecord[];
  /** Notes that a session was sent to a version. */
  recordSend(session: string, version: string): void;
  /** Takes in what became of a send. */
  recordOutcome(outcome: VersionOutcome): void;
}
