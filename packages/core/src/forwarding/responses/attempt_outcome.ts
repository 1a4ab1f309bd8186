import type {ExchangeKind} from '../exchange_types.js';

/** How an attempt at a backend server ended. */
export type AttemptEnd =
  /** The server answered successfully; the answer may still be streaming. */
  | 'answered'
  /** The server ran the request and answered with a failure. */
  | 'failed'
  /** The server refused the request without running it. */
  | 'rejected'
  /** The server refused the request without running it and asked for a pause. */
  | 'paused'
  /** The status says that the request has not run, without proof of it. */
  | 'unprovenRejection'
  /** The address now belongs to another server. */
  | 'replaced'
  /** No byte of the request was written. */
  | 'unsent'
  /** Not written, because the server asked for no requests in the meantime. */
  | 'withheld'
  /** The request was sent, but the answer is missing or incomplete. */
  | 'lost'
  /** The bytes received are not a valid answer to this request. */
  | 'garbled';

/**
 * Next step of a request after an attempt: relay the answer to the caller, send
 * the request to another server, or fail it.
 */
export type NextStep = 'relay' | 'tryAnotherServer' | 'fail';

interface EndHandling {
  /** The request has not run, so any kind may be sent to another server. */
  readonly isSafeToRetry: boolean;
  /** Next step when the request may not be sent again. */
  readonly whenExhausted: NextStep;
}

const HANDLING_BY_END: Readonly<Record<AttemptEnd, EndHandling>> = {
  answered: {isSafeToRetry: false, whenExhausted: 'relay'},
  failed: {isSafeToRetry: false, whenExhausted: 'relay'},
  rejected: {isSafeToRetry: true, whenExhausted: 'fail'},
  paused: {isSafeToRetry: true, whenExhausted: 'fail'},
  unprovenRejection: {isSafeToRetry: false, whenExhausted: 'fail'},
  replaced: {isSafeToRetry: true, whenExhausted: 'fail'},
  unsent: {isSafeToRetry: true, whenExhausted: 'fail'},
  withheld: {isSafeToRetry: true, whenExhausted: 'fail'},
  lost: {isSafeToRetry: false, whenExhausted: 'fail'},
  garbled: {isSafeToRetry: false, whenExhausted: 'fail'},
};

/**
 * True for kinds of request that may run more than once: `idempotent` ones and
 * resumable streams.
 */
export function isRetryableKind(
  kind: ExchangeKind,
  isResumable: boolean,
): boolean {
  if (kind === 'stream') return isResumable;
  return kind === 'idempotent';
}

/**
 * Decides the next step after an attempt.
 *
 * @param isRetryable the request may run more than once.
 * @param canSendAgain attempts, retry budget and time allow a further send.
 * @example
 * ```ts
 * decideNextStep('lost', false, true); // 'fail': it may have run
 * ```
 */
export function decideNextStep(
  end: AttemptEnd,
  isRetryable: boolean,
  canSendAgain: boolean,
): NextStep {
  if (end === 'answered') return 'relay';
  const handling = HANDLING_BY_END[end];
  if (!handling.isSafeToRetry && !isRetryable) return handling.whenExhausted;
  return canSendAgain ? 'tryAnotherServer' : handling.whenExhausted;
}

/** True when no byte of the request reached the server. */
export function isNeverSent(end: AttemptEnd): boolean {
  return end === 'unsent' || end === 'withheld';
}

/** True when the end of the attempt proves that the request did not run. */
export function isProvenNotRun(end: AttemptEnd): boolean {
  return HANDLING_BY_END[end].isSafeToRetry;
}
