import {isObjectStoreError} from '@anvilrudder/clients';
import type {ObjectStore, RolloutState} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';

/** How a roll-out goes, as it is told to the operator. */
export interface RolloutProgress {
  readonly service: string;
  readonly target: string;
  readonly state: RolloutState;
  /** Time since the order. */
  readonly elapsedMs: number;
}

/** Outcome of telling it. */
export type DeclarationResult =
  | {readonly status: 'written'; readonly version: number}
  /** The order has changed; its watch tells how. */
  | {readonly status: 'conflict'}
  /** No answer; the write may have taken effect, and its watch tells. */
  | {readonly status: 'unanswered'};

/** Tells operators how a roll-out goes. */
export interface RolloutStateWriter {
  /** Writes a state unless the order has changed since the revision. */
  writeState(
    progress: RolloutProgress,
    revision: number,
  ): Promise<DeclarationResult>;
}

/** How a declaration is written to the store. */
export interface RolloutProgressCodec {
  readonly toKey: (service: string) => string;
  readonly encode: (progress: RolloutProgress) => string;
}

/** Creates a writer to the object store. */
export function createStoredStateWriter(
  store: ObjectStore,
  codec: RolloutProgressCodec,
  logger: Logger,
): RolloutStateWriter {
  return {
    async writeState(declaration, revision) {
      try {
        const result = await store.put(
          codec.toKey(declaration.service),
          codec.encode(declaration),
          {kind: 'version', version: revision},
        );
        return result.status === 'written' ? result : {status: 'conflict'};
      } catch (error) {
        if (!isObjectStoreError(error)) throw error;
        logger.warn('rollout_write_failed', {
          service: declaration.service,
          state: declaration.state,
          failure: error.failure,
        });
        return {status: 'unanswered'};
      }
    },
  };
}
