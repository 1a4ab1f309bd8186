import type {Execution} from '../errors/error_codes.js';

/** A failed attempt, and the attempts and time left for another one. */
export interface FailedAttempt {
  /** Whether the backend server executed the request. */
  readonly execution: Execution;
  readonly isIdempotent: boolean;
  /** Number of attempts made so far. */
  readonly attemptCount: number;
  readonly maxAttempts: number;
  /** Time left until the caller's deadline. */
  readonly remainingMs: number;
  /** Expected duration of another attempt. */
  readonly expectedMs: number;
}

/** Reason not to make another attempt. */
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
 * Returns the reason why a failed attempt must not be retried. Does not check
 * the retry budget, which the caller consults afterwards.
 *
 * @returns undefined when the attempt may be retried.
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
