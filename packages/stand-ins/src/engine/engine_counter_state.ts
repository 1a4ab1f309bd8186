import type {EngineCounters} from './engine_types.js';

const MAX_COUNTED_KEYS = 200_000;

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
  if (counts.size <= MAX_COUNTED_KEYS) return;
  const [oldest] = counts.keys();
  counts.delete(oldest);
}

/**
 * Counters of one engine. The counts by request id cover the newest 200 000
 * ids; older ids are dropped.
 */
export class EngineCounterState {
  tokens = 0;
  refused = 0;
  cancelled = 0;
  ordersApplied = 0;
  ordersRefused = 0;
  private readonly executions = new Map<string, number>();
  private readonly resumes = new Map<string, number>();
  private readonly executionsByVersion = new Map<string, number>();

  countStart(
    requestId: string,
    modelVersion: string,
    resumeFromToken: number,
  ): void {
    increment(resumeFromToken > 0 ? this.resumes : this.executions, requestId);
    increment(this.executionsByVersion, modelVersion);
  }

  snapshot(): EngineCounters {
    return {
      executions: Object.fromEntries(this.executions),
      resumes: Object.fromEntries(this.resumes),
      executionsByVersion: Object.fromEntries(this.executionsByVersion),
      tokens: this.tokens,
      refused: this.refused,
      cancelled: this.cancelled,
      ordersApplied: this.ordersApplied,
      ordersRefused: this.ordersRefused,
    };
  }
}
