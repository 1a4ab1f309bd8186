import type {Execution} from '../errors/error_codes.js';

/** A failed attempt and what is left for another. */
export interface FailedAttempt {
  /** Whether the backend server ran the request. */
  readonly execution: Execution;
  readonly isIdempotent: boolean;
  /** Attempts so far. */
  readonly attemptCount: number;
  readonly maxAttempts: number;
  /** Time until the caller's deadline. */
  readonly remainingMs: number;
  /** Time that another attempt takes. */
  readonly expectedMs: number;
}

/** Why there is no other attempt. */
export type GiveUpReason =
  'ran' | 'mayHaveRun' | 'attemptsUsed' | 'deadline' | 'budget';

const REFUSAL_BY_EXECUTION = {
  notRun: () => undefined,
  unknown: isIdempotent => (isIdempotent ? undefined : 'mayHaveRun'),
  ran: () => 'ran',
} as const satisfies Record<
  Execution,
  (isIdempotent: boolean) => GiveUpReason | undefined
>;

/**
 * Tells why a failed attempt must not be repeated, before the retry budget
 * is asked.
 *
 * @returns undefined when it may be repeated.
 * @example
 * ```ts
 * findRetryRefusal({...attempt, execution: 'unknown', isIdempotent: false});
 * // 'mayHaveRun'
 * ```
 */
export function findRetryRefusal(
  attempt: FailedAttempt,
): GiveUpReason | undefined {
  const refuse = REFUSAL_BY_EXECUTION[attempt.execution];
  const refusal = refuse(attempt.isIdempotent);
  if (refusal !== undefined) return refusal;
  if (attempt.attemptCount >= attempt.maxAttempts) return 'attemptsUsed';
  if (attempt.remainingMs < attempt.expectedMs) return 'deadline';
  return undefined;
}
