import type {ModelVersion} from '@anvilrudder/core';
import {computeMeanServiceMs, type EngineModel} from './engine_model.js';
import type {EntryModel} from './entry_model.js';
import type {EventQueue} from './event_queue.js';

/** Sizes and traffic of a simulation. */
export interface ServiceConfig {
  readonly engineCount: number;
  readonly slotsPerEngine: number;
  /** Number of engines that serve the second version instead of the first. */
  readonly secondVersionEngineCount: number;
  readonly prefixCount: number;
  readonly prefixCapacity: number;
  readonly durationMs: number;
  /** Returns the ratio of offered load to nominal capacity at a time. */
  readonly loadAt: (nowMs: number) => number;
  readonly deadlineMs: number;
  /**
   * Whether callers retry immediately after a time-out, and after a mean of 0.1 s
   * instead of 1 s after a failure that gives no retry delay.
   */
  readonly retriesEagerly: boolean;
}

/** The parts of a simulation that a fault can change. */
export interface SimulatedService {
  readonly events: EventQueue;
  readonly engines: readonly EngineModel[];
  readonly entries: readonly EntryModel[];
}

/** A change applied at a time of the simulation. */
export interface Fault {
  readonly atMs: number;
  readonly apply: (service: SimulatedService) => void;
}

export const PROMPT_TOKENS = 800;
export const MEAN_ANSWER_TOKENS = 100;
export const ENTRY_COUNT = 4;
export const FAILURE_DOMAINS: readonly string[] = ['a', 'b', 'c'];
export const VERSIONS: readonly ModelVersion[] = [
  {model: 'quick', version: 'v1'},
  {model: 'steady', version: 'v1'},
];

export const DEFAULT_CONFIG: ServiceConfig = {
  engineCount: 12,
  slotsPerEngine: 8,
  secondVersionEngineCount: 0,
  prefixCount: 120,
  prefixCapacity: 30,
  durationMs: 60_000,
  loadAt: () => 0.7,
  deadlineMs: 8000,
  retriesEagerly: false,
};

/** Returns the nominal capacity of all engines in requests per second. */
export function computeCapacityPerS(config: ServiceConfig): number {
  const serviceMs = computeMeanServiceMs(PROMPT_TOKENS, MEAN_ANSWER_TOKENS);
  return (config.engineCount * config.slotsPerEngine * 1000) / serviceMs;
}
