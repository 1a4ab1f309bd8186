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
  type StepState,
  type WantedState,
} from './order.js';

/** A step with the version of its object. */
export interface StoredStep {
  readonly step: RolloutStep;
  readonly version: number;
}

/** One engine of a planned roll-out. */
export interface PlannedStep {
  readonly engine: string;
  readonly wanted: WantedState;
}

/**
 * Writes the steps of a roll-out. A repeat after a crash or a lost answer goes
 * on where it stopped, since each step is created only if it is absent.
 *
 * @returns false when the object API was out; to be repeated.
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

/** Reads every step of a roll-out; undefined when the object API was out. */
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

/** Reads one step anew, right before its order. */
export function* readRolloutStep(
  rolloutId: string,
  index: number,
): StoreProtocol<StoredStep | undefined> {
  const key = resolveStepKey(rolloutId, index);
  const read: ReadOutcome = yield* readObject(key);
  if (read.status === 'failed' || read.object === undefined) return undefined;
  return {
    step: parseRolloutStep(read.object.value),
    version: read.object.version,
  };
}

/**
 * Records the new state of a step if nobody changed it meanwhile.
 *
 * @returns false when the step was changed or the object API was out.
 */
export function* recordRolloutStep(
  stored: StoredStep,
  state: StepState,
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
