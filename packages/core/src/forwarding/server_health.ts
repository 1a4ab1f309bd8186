import type {AttemptEnd} from './attempt_outcome.js';

/** What a server's recent attempts say of it; one record a server. */
export interface ServerHealth {
  /** Moving share of attempts that failed. */
  readonly failureRate: number;
  /** Attempts in a row that got no answer at all. */
  readonly consecutiveUnanswered: number;
  /** No new work before this time. */
  readonly ejectedUntilMs: number;
  readonly ejectionCount: number;
  readonly observedMs: number;
}

export const INITIAL_HEALTH: ServerHealth = {
  failureRate: 0,
  consecutiveUnanswered: 0,
  ejectedUntilMs: -Infinity,
  ejectionCount: 0,
  observedMs: -Infinity,
};

const FAILURE_WEIGHT = 0.15;
/** Failures lose half their weight in this time, so that a server returns. */
const FAILURE_HALF_LIFE_MS = 4000;
const UNANSWERED_BEFORE_EJECTION = 2;
const FIRST_EJECTION_MS = 600;
const MAX_EJECTION_MS = 5000;

const IS_FAILURE: Readonly<Record<AttemptEnd, boolean>> = {
  answered: false,
  failed: true,
  rejected: true,
  replaced: true,
  unsent: true,
  lost: true,
  garbled: true,
};

/** Ends after which nothing shows that the server is there at all. */
const IS_UNANSWERED: Readonly<Record<AttemptEnd, boolean>> = {
  answered: false,
  failed: false,
  rejected: false,
  replaced: true,
  unsent: true,
  lost: true,
  garbled: false,
};

/** The share of failures now, which fades while nothing is observed. */
export function computeFailureRate(
  health: ServerHealth,
  nowMs: number,
): number {
  const ageMs = nowMs - health.observedMs;
  if (ageMs === Infinity) return 0;
  return health.failureRate * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
}

/** True while the server gets no new work. */
export function isEjected(health: ServerHealth, nowMs: number): boolean {
  return nowMs < health.ejectedUntilMs;
}

/**
 * Takes in the end of an attempt.
 *
 * @example
 * ```ts
 * const health = observeAttempt(UNKNOWN_HEALTH, 'lost', nowMs);
 * ```
 */
export function recordAttempt(
  health: ServerHealth,
  end: AttemptEnd,
  nowMs: number,
): ServerHealth {
  const before = computeFailureRate(health, nowMs);
  const observed = IS_FAILURE[end] ? 1 : 0;
  const failureRate = before + FAILURE_WEIGHT * (observed - before);
  const consecutiveUnanswered = IS_UNANSWERED[end]
    ? health.consecutiveUnanswered + 1
    : 0;
  const next = {
    ...health,
    failureRate,
    consecutiveUnanswered,
    observedMs: nowMs,
  };
  const isUnreachable = end === 'unsent' || end === 'replaced';
  if (isUnreachable || consecutiveUnanswered >= UNANSWERED_BEFORE_EJECTION) {
    return eject(next, nowMs);
  }
  return end === 'answered' ? {...next, ejectionCount: 0} : next;
}

function eject(health: ServerHealth, nowMs: number): ServerHealth {
  const backoffMs = FIRST_EJECTION_MS * 2 ** health.ejectionCount;
  return {
    ...health,
    // One more silent attempt after the return ejects again.
    consecutiveUnanswered: UNANSWERED_BEFORE_EJECTION - 1,
    ejectionCount: health.ejectionCount + 1,
    ejectedUntilMs: nowMs + Math.min(MAX_EJECTION_MS, backoffMs),
  };
}
