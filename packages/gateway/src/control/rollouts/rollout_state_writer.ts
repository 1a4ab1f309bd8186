import {isObjectStoreError} from '@anvilrudder/clients';
import type {ObjectStore, RolloutState} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';

/** State of a rollout, as reported to operators. */
export interface RolloutProgress {
  readonly service: string;
  readonly target: string;
  readonly state: RolloutState;
  /** Time since the rollout was ordered. */
  readonly elapsedMs: number;
  /** Index of the step that the rollout has reached. */
  readonly step: number;
}

/** Result of writing a rollout state. */
export type StateWriteResult =
  | {readonly status: 'written'; readonly version: number}
  /** The order has changed; the watch delivers the new one. */
  | {readonly status: 'conflict'}
  /** No response; the watch shows whether the write took effect. */
  | {readonly status: 'unanswered'};

/** Reports the state of rollouts to operators. */
export interface RolloutStateWriter {
  /** Writes a state unless the order has changed since `revision`. */
  writeState(
    progress: RolloutProgress,
    revision: number,
  ): Promise<StateWriteResult>;
}

/** Encodes the state of a rollout for the store. */
export interface RolloutProgressCodec {
  readonly toKey: (service: string) => string;
  readonly encode: (progress: RolloutProgress) => string;
}

/** Creates a writer that stores rollout states in the object store. */
export function createRolloutStateWriter(
  store: ObjectStore,
  codec: RolloutProgressCodec,
  logger: Logger,
): RolloutStateWriter {
  return {
    async writeState(progress, revision) {
      try {
        const result = await store.put(
          codec.toKey(progress.service),
          codec.encode(progress),
          {kind: 'version', version: revision},
        );
        return result.status === 'written' ? result : {status: 'conflict'};
      } catch (error) {
        if (!isObjectStoreError(error)) throw error;
        logger.warn('rollout_write_failed', {
          service: progress.service,
          state: progress.state,
          failure: error.failure,
        });
        return {status: 'unanswered'};
      }
    },
  };
}
