import type {ModelVersion} from '@anvilrudder/core';
import {computeMeanServiceMs, type EngineModel} from './engine_model.js';
import type {EntryModel} from './entry_model.js';
import type {EventQueue} from './event_queue.js';

/** Sizes and traffic of a run. */
export interface ServiceSetting {
  readonly engineCount: number;
  readonly slotsPerEngine: number;
  /** Engines that serve the second version in place of the first. */
  readonly secondVersionEngines: number;
  readonly prefixCount: number;
  readonly prefixCapacity: number;
  readonly durationMs: number;
  /** Offered load over the nominal capacity, by time. */
  readonly loadAt: (nowMs: number) => number;
  readonly deadlineMs: number;
  /** True when callers come back at once after failures and timeouts. */
  readonly isImpatient: boolean;
}

/** Everything that faults may touch. */
export interface ServiceWorld {
  readonly events: EventQueue;
  readonly engines: readonly EngineModel[];
  readonly entries: readonly EntryModel[];
}

/** Something that happens during a run. */
export interface Fault {
  readonly atMs: number;
  readonly apply: (world: ServiceWorld) => void;
}

export const PROMPT_TOKENS = 800;
export const MEAN_ANSWER_TOKENS = 100;
export const ENTRY_COUNT = 4;
export const DOMAINS: readonly string[] = ['a', 'b', 'c'];
export const VERSIONS: readonly ModelVersion[] = [
  {model: 'quick', version: 'v1'},
  {model: 'steady', version: 'v1'},
];

export const PLAIN_SETTING: ServiceSetting = {
  engineCount: 12,
  slotsPerEngine: 8,
  secondVersionEngines: 0,
  prefixCount: 120,
  prefixCapacity: 30,
  durationMs: 60_000,
  loadAt: () => 0.7,
  deadlineMs: 8000,
  isImpatient: false,
};

/** Requests a second that the engines can just serve. */
export function computeCapacityPerS(setting: ServiceSetting): number {
  const serviceMs = computeMeanServiceMs(PROMPT_TOKENS, MEAN_ANSWER_TOKENS);
  return (setting.engineCount * setting.slotsPerEngine * 1000) / serviceMs;
}
