import {isSameModelVersion, type ModelVersion} from '../types/identity.js';

/** The state that an engine is ordered into; a repeat changes nothing. */
export interface WantedState {
  readonly loaded: readonly ModelVersion[];
  readonly isDraining: boolean;
}

/** Progress of one step. */
export type StepState = 'planned' | 'applied' | 'cancelled';

/** One step of a roll-out: one engine and the state it is to reach. */
export interface RolloutStep {
  readonly rolloutId: string;
  readonly index: number;
  /** Host of the engine, as in the host list. */
  readonly engine: string;
  readonly wanted: WantedState;
  readonly state: StepState;
  /** Fencing number of the order that was applied. */
  readonly fencing: number;
}

/** Prefix of all steps of all roll-outs. */
export const ROLLOUT_PREFIX = 'rollouts/';

const INDEX_DIGITS = 6;

/** Prefix of the steps of one roll-out. */
export function resolveRolloutPrefix(rolloutId: string): string {
  return `${ROLLOUT_PREFIX}${encodeURIComponent(rolloutId)}/`;
}

/** Object key of one step. */
export function resolveStepKey(rolloutId: string, index: number): string {
  const suffix = String(index).padStart(INDEX_DIGITS, '0');
  return `${resolveRolloutPrefix(rolloutId)}${suffix}`;
}

/** The id of a step's order; the same for each repeat. */
export function resolveOrderId(step: RolloutStep): string {
  return `${step.rolloutId}/${step.index}`;
}

/** Parses a step; text that is not JSON throws. */
export function parseRolloutStep(text: string): RolloutStep {
  return JSON.parse(text) as RolloutStep;
}

/** True when an engine reports exactly the versions that it should have. */
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
 * Chooses the steps that may be ordered now: in order, at most one an engine,
 * and no more at a time than the weight store can feed.
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
  const busy = new Set(enginesInProgress);
  const selected: RolloutStep[] = [];
  for (const step of steps) {
    if (busy.size >= maxConcurrentLoads) break;
    if (step.state !== 'planned' || busy.has(step.engine)) continue;
    busy.add(step.engine);
    selected.push(step);
  }
  return selected;
}

/** The last applied step of each engine, which states what it must have. */
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
