import type {AttemptEnd} from '../responses/attempt_outcome.js';

/** Health of one server, derived from its recent attempts. */
export interface ServerHealth {
  /** Moving average of the share of failed attempts. */
  readonly failureRate: number;
  /** Consecutive attempts that got no answer at all. */
  readonly consecutiveUnanswered: number;
  /** The server gets no new requests before this time. */
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
/** The failure rate halves in this time, so that a server is tried again. */
const FAILURE_HALF_LIFE_MS = 4000;
const UNANSWERED_BEFORE_EJECTION = 2;
const FIRST_EJECTION_MS = 600;
const MAX_EJECTION_MS = 5000;

const IS_FAILURE: Readonly<Record<AttemptEnd, boolean>> = {
  answered: false,
  failed: true,
  rejected: true,
  paused: false,
  unprovenRejection: true,
  replaced: true,
  unsent: true,
  withheld: false,
  lost: true,
  garbled: true,
};

/** Ends that give no sign that the server is running at this address. */
const IS_UNANSWERED: Readonly<Record<AttemptEnd, boolean>> = {
  answered: false,
  failed: false,
  rejected: false,
  paused: false,
  unprovenRejection: false,
  replaced: true,
  unsent: true,
  withheld: false,
  lost: true,
  garbled: false,
};

/** Computes the current failure rate, which decays without observations. */
export function computeFailureRate(
  health: ServerHealth,
  nowMs: number,
): number {
  if (health.failureRate === 0) return 0;
  const ageMs = nowMs - health.observedMs;
  return health.failureRate * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
}

/** True while the server is ejected and gets no new requests. */
export function isEjected(health: ServerHealth, nowMs: number): boolean {
  return nowMs < health.ejectedUntilMs;
}

/**
 * Returns the health after an attempt, ejecting the server if it is
 * unreachable or left several attempts in a row unanswered.
 *
 * @example
 * ```ts
 * const health = recordAttempt(INITIAL_HEALTH, 'lost', nowMs);
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
    // One more unanswered attempt after the ejection ends ejects it again.
    consecutiveUnanswered: UNANSWERED_BEFORE_EJECTION - 1,
    ejectionCount: health.ejectionCount + 1,
    ejectedUntilMs: nowMs + Math.min(MAX_EJECTION_MS, backoffMs),
  };
}
