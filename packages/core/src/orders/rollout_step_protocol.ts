import {
  listObjects,
  readObject,
  writeObject,
  type ListOutcome,
  type ReadOutcome,
  type StoreProtocol,
} from '../steps/store_step.js';
import type {WriteCondition} from '../types/object_store.js';
import {
  parseRolloutStep,
  resolveRolloutPrefix,
  resolveStepKey,
  type RolloutStep,
  type RolloutStepState,
  type WantedState,
} from './rollout_step.js';

/** A step, and the version of its stored object. */
export interface StoredRolloutStep {
  readonly step: RolloutStep;
  readonly version: number;
}

/** An engine of a planned rollout, and the state that it has to reach. */
export interface PlannedStep {
  readonly engine: string;
  readonly wanted: WantedState;
}

/**
 * Writes the steps of a rollout. A repeated call after a crash or a lost
 * answer continues where the previous one stopped, since each step is created
 * only if it is absent.
 *
 * @returns false when a write failed; the call has to be repeated.
 */
export function* planRollout(
  rolloutId: string,
  planned: readonly PlannedStep[],
): StoreProtocol<boolean> {
  for (const [index, {engine, wanted}] of planned.entries()) {
    const step: RolloutStep = {
      rolloutId,
      index,
      engine,
      wanted,
      state: 'planned',
      fencing: 0,
    };
    const write = yield* writeObject({
      key: resolveStepKey(rolloutId, index),
      value: JSON.stringify(step),
      condition: {kind: 'absent'},
    });
    if (write.status === 'failed') return false;
  }
  return true;
}

/** Reads all steps of a rollout; returns undefined when a call failed. */
export function* listRolloutSteps(
  rolloutId: string,
): StoreProtocol<readonly RolloutStep[] | undefined> {
  const steps: RolloutStep[] = [];
  let after: string | undefined;
  do {
    const prefix = resolveRolloutPrefix(rolloutId);
    const list: ListOutcome = yield* listObjects(prefix, after);
    if (list.status === 'failed') return undefined;
    steps.push(...list.page.objects.map(o => parseRolloutStep(o.value)));
    after = list.page.nextAfter;
  } while (after !== undefined);
  return steps;
}

/**
 * Reads the current state of one step, immediately before its order is sent.
 *
 * @returns undefined when the step does not exist or the call failed.
 */
export function* readRolloutStep(
  rolloutId: string,
  index: number,
): StoreProtocol<StoredRolloutStep | undefined> {
  const key = resolveStepKey(rolloutId, index);
  const read: ReadOutcome = yield* readObject(key);
  if (read.status === 'failed' || read.object === undefined) return undefined;
  return {
    step: parseRolloutStep(read.object.value),
    version: read.object.version,
  };
}

/**
 * Records the new state of a step unless it was changed since it was read.
 *
 * @returns false when the step was changed or the write failed.
 */
export function* recordRolloutStep(
  stored: StoredRolloutStep,
  state: RolloutStepState,
  fencing: number,
): StoreProtocol<boolean> {
  const step: RolloutStep = {...stored.step, state, fencing};
  const condition: WriteCondition = {kind: 'version', version: stored.version};
  const write = yield* writeObject({
    key: resolveStepKey(step.rolloutId, step.index),
    value: JSON.stringify(step),
    condition,
  });
  return write.status === 'written';
}
