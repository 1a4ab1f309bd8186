/** A running timer that aborts a signal at a deadline. */
export interface Deadline {
  /** Aborts at the deadline or when the parent signal aborts. */
  readonly signal: AbortSignal;
  /** Stops the timer. */
  clear(): void;
}

/**
 * Starts the timer for the deadline of a request.
 *
 * @param deadlineAtMs Monotonic time in milliseconds.
 * @example
 * ```ts
 * const deadline = startDeadline(performance.now() + 5000, callerSignal);
 * ```
 */
export function startDeadline(
  deadlineAtMs: number,
  parent: AbortSignal,
): Deadline {
  const controller = new AbortController();
  const remainingMs = Math.max(0, deadlineAtMs - performance.now());
  const timer = setTimeout(() => {
    controller.abort(new DOMException('deadline', 'TimeoutError'));
  }, remainingMs);
  return {
    signal: AbortSignal.any([parent, controller.signal]),
    clear: () => clearTimeout(timer),
  };
}
