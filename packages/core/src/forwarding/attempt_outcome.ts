import type {ExchangeKind} from './exchange_types.js';

/** How an attempt at a backend server ended. */
export type AttemptEnd =
  /** A whole success, or one that is being relayed. */
  | 'answered'
  /** The server's own failure; it ran the request. */
  | 'failed'
  /** The server said that it did not run the request. */
  | 'rejected'
  /** Another server has the address. */
  | 'replaced'
  /** No byte was written. */
  | 'unsent'
  /** The request was sent and the answer did not come, or not whole. */
  | 'lost'
  /** Bytes came that are not the server's answer to this request. */
  | 'garbled';

/** What becomes of a request after an attempt. */
export type NextStep = 'relay' | 'elsewhere' | 'giveUp';

interface EndHandling {
  /** The request has not run and may go to another server, whatever its kind. */
  readonly isSafeElsewhere: boolean;
  /** What a request that may run again does when its sends are spent. */
  readonly whenSpent: NextStep;
}

const HANDLING: Readonly<Record<AttemptEnd, EndHandling>> = {
  answered: {isSafeElsewhere: false, whenSpent: 'relay'},
  failed: {isSafeElsewhere: false, whenSpent: 'relay'},
  rejected: {isSafeElsewhere: true, whenSpent: 'giveUp'},
  replaced: {isSafeElsewhere: true, whenSpent: 'giveUp'},
  unsent: {isSafeElsewhere: true, whenSpent: 'giveUp'},
  lost: {isSafeElsewhere: false, whenSpent: 'giveUp'},
  garbled: {isSafeElsewhere: false, whenSpent: 'giveUp'},
};

/** True for kinds that a second server may run. */
export function isRepeatableKind(
  kind: ExchangeKind,
  isResumable: boolean,
): boolean {
  if (kind === 'stream') return isResumable;
  return kind === 'idempotent';
}

/**
 * Decides what follows an attempt.
 *
 * @param canSendAgain attempts, budget and time allow a further send.
 * @example
 * ```ts
 * decideNextStep('lost', false, true); // 'giveUp': it may have run
 * ```
 */
export function decideNextStep(
  end: AttemptEnd,
  isRepeatable: boolean,
  canSendAgain: boolean,
): NextStep {
  if (end === 'answered') return 'relay';
  const handling = HANDLING[end];
  if (!handling.isSafeElsewhere && !isRepeatable) return handling.whenSpent;
  return canSendAgain ? 'elsewhere' : handling.whenSpent;
}

/** True when the attempt proves that the request did not run there. */
export function isProvenNotRun(end: AttemptEnd): boolean {
  return HANDLING[end].isSafeElsewhere;
}
