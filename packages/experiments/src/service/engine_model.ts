import {
  PRIORITY_ORDER,
  type LoadReport,
  type ModelVersion,
  type Priority,
} from '@anvilrudder/core';
import type {EventQueue} from './event_queue.js';

const PREFILL_MS_PER_TOKEN = 0.4;
const DECODE_MS_PER_TOKEN = 20;
const CACHED_PROMPT_SHARE = 0.9;
const MAX_QUEUE_LENGTH = 64;

/** A request to an engine, with callbacks for its progress. */
export interface EngineTask {
  readonly id: string;
  readonly priority: Priority;
  readonly prefixKey: string;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly onFirstToken: () => void;
  readonly onDone: () => void;
  /** Called when the engine goes down before the task is done. */
  readonly onAborted: () => void;
}

/** Location, capacity and loaded versions of an engine. */
export interface EngineProfile {
  readonly id: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly prefixCapacity: number;
  readonly loaded: readonly ModelVersion[];
}

/**
 * Returns the time in milliseconds that a request takes on an idle engine when
 * half of the requests find their prefix in the cache.
 */
export function computeMeanServiceMs(
  promptTokens: number,
  answerTokens: number,
): number {
  const prefillMs = promptTokens * PREFILL_MS_PER_TOKEN;
  return (
    prefillMs * (1 - CACHED_PROMPT_SHARE / 2) +
    answerTokens * DECODE_MS_PER_TOKEN
  );
}

/** Simulates a model engine with slots, a queue and a prefix cache. */
export class EngineModel {
  /** Speed relative to a normal engine. */
  relativeSpeed = 1;
  prefixHits = 0;
  prefixMisses = 0;
  private isDown = false;
  private readonly running = new Map<string, EngineTask>();
  private readonly queue: EngineTask[] = [];
  private readonly prefixes = new Set<string>();

  private constructor(
    readonly profile: EngineProfile,
    private readonly events: EventQueue,
  ) {}

  static create(profile: EngineProfile, events: EventQueue): EngineModel {
    return new EngineModel(profile, events);
  }

  /** Submits a task. The callbacks are only called for an accepted task. */
  submit(task: EngineTask): 'accepted' | 'full' | 'unreachable' {
    if (this.isDown) return 'unreachable';
    if (this.running.size < this.profile.slots) {
      this.start(task);
      return 'accepted';
    }
    if (this.queue.length >= MAX_QUEUE_LENGTH) return 'full';
    this.queue.push(task);
    return 'accepted';
  }

  cancel(id: string): void {
    const index = this.queue.findIndex(task => task.id === id);
    if (index >= 0) this.queue.splice(index, 1);
    if (this.running.delete(id)) this.startNext();
  }

  /** Stops or starts the engine. Stopping aborts all running and queued tasks. */
  setDown(isDown: boolean): void {
    this.isDown = isDown;
    if (!isDown) return;
    const lost = [...this.running.values(), ...this.queue];
    this.running.clear();
    this.queue.length = 0;
    this.prefixes.clear();
    for (const task of lost) task.onAborted();
  }

  readLoadReport(): LoadReport | undefined {
    if (this.isDown) return undefined;
    return {
      running: this.running.size,
      queued: this.queue.length,
      slots: this.profile.slots,
      isDraining: false,
      reportAgeMs: 0,
    };
  }

  private start(task: EngineTask): void {
    this.running.set(task.id, task);
    const prefillTokens = task.promptTokens * this.accessPrefixCache(task);
    const prefillMs =
      (prefillTokens * PREFILL_MS_PER_TOKEN) / this.relativeSpeed;
    const decodeMs =
      (task.answerTokens * DECODE_MS_PER_TOKEN) / this.relativeSpeed;
    const isRunning = () => this.running.get(task.id) === task;
    this.events.after(prefillMs, () => {
      if (isRunning()) task.onFirstToken();
    });
    this.events.after(prefillMs + decodeMs, () => {
      if (!isRunning()) return;
      this.running.delete(task.id);
      task.onDone();
      this.startNext();
    });
  }

  private startNext(): void {
    if (this.running.size >= this.profile.slots) return;
    for (const priority of PRIORITY_ORDER) {
      const index = this.queue.findIndex(task => task.priority === priority);
      if (index < 0) continue;
      const [task] = this.queue.splice(index, 1);
      return this.start(task);
    }
  }

  // Records a use of the prefix and returns the uncached share of the prompt.
  private accessPrefixCache({prefixKey}: EngineTask): number {
    const isCached = this.prefixes.delete(prefixKey);
    this.prefixes.add(prefixKey);
    if (this.prefixes.size > this.profile.prefixCapacity) {
      const [oldest] = this.prefixes;
      this.prefixes.delete(oldest);
    }
    if (isCached) this.prefixHits += 1;
    else this.prefixMisses += 1;
    return isCached ? 1 - CACHED_PROMPT_SHARE : 1;
  }
}
