import {isSameModelVersion, type ModelVersion} from '../types/identity.js';

/** The state that an order asks of an engine; repeating it changes nothing. */
export interface WantedState {
  readonly loaded: readonly ModelVersion[];
  readonly isDraining: boolean;
}

/** Progress of one step of a rollout. */
export type RolloutStepState = 'planned' | 'applied' | 'cancelled';

/** One step of a rollout: an engine and the state that it has to reach. */
export interface RolloutStep {
  readonly rolloutId: string;
  readonly index: number;
  /** Host of the engine, as in the host list. */
  readonly engine: string;
  readonly wanted: WantedState;
  readonly state: RolloutStepState;
  /** Fencing number of the order that was applied. */
  readonly fencing: number;
}

/** Prefix of the object keys of all rollouts. */
export const ROLLOUT_PREFIX = 'rollouts/';

const INDEX_DIGITS = 6;

/** Computes the prefix of the object keys of the steps of one rollout. */
export function resolveRolloutPrefix(rolloutId: string): string {
  return `${ROLLOUT_PREFIX}${encodeURIComponent(rolloutId)}/`;
}

/** Computes the object key of one step. */
export function resolveStepKey(rolloutId: string, index: number): string {
  const suffix = String(index).padStart(INDEX_DIGITS, '0');
  return `${resolveRolloutPrefix(rolloutId)}${suffix}`;
}

/** Computes the id of the order of a step, the same for each repetition. */
export function resolveOrderId(step: RolloutStep): string {
  return `${step.rolloutId}/${step.index}`;
}

/**
 * Parses a step.
 *
 * @throws SyntaxError when the text is not JSON.
 */
export function parseRolloutStep(text: string): RolloutStep {
  return JSON.parse(text) as RolloutStep;
}

/** Returns true when an engine has loaded exactly the wanted versions. */
export function isStateReached(
  wanted: WantedState,
  loaded: readonly ModelVersion[],
): boolean {
  return (
    wanted.loaded.length === loaded.length &&
    wanted.loaded.every(w => loaded.some(l => isSameModelVersion(w, l)))
  );
}

/**
 * Selects the steps whose orders may be sent now: in order, at most one per
 * engine, and no more concurrent loads than `maxConcurrentLoads`, the number
 * that the weight store can supply.
 *
 * @example
 * ```ts
 * selectRolloutSteps(steps, enginesInProgress, 4);
 * ```
 */
export function selectRolloutSteps(
  steps: readonly RolloutStep[],
  enginesInProgress: ReadonlySet<string>,
  maxConcurrentLoads: number,
): readonly RolloutStep[] {
  const busyEngines = new Set(enginesInProgress);
  const selected: RolloutStep[] = [];
  for (const step of steps) {
    if (busyEngines.size >= maxConcurrentLoads) break;
    if (step.state !== 'planned' || busyEngines.has(step.engine)) continue;
    busyEngines.add(step.engine);
    selected.push(step);
  }
  return selected;
}

/**
 * Lists, for each engine, the last step that is not cancelled, if it is
 * applied. It states which versions the engine must have.
 */
export function listLastApplied(
  steps: readonly RolloutStep[],
): readonly RolloutStep[] {
  const byEngine = new Map<string, RolloutStep>();
  for (const step of steps) {
    if (step.state === 'cancelled') continue;
    byEngine.set(step.engine, step);
  }
  return [...byEngine.values()].filter(step => step.state === 'applied');
}
