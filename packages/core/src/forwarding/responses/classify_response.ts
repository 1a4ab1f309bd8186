import type {AttemptEnd} from './attempt_outcome.js';
import {claimsNotRun} from './not_run_claim.js';

/** What the head of a response says about the send that it answers. */
export interface ResponseClaims {
  readonly status: number;
  /** It names the request that was sent. */
  readonly isForRequest: boolean;
  /** It states that the request was not run. */
  readonly isNotRun: boolean;
  /** It asks for no more requests for some time. */
  readonly asksForPause: boolean;
  /** It carries the signature of the server. */
  readonly isSigned: boolean;
  /** Its body has a content encoding, although no caller requests one. */
  readonly isEncoded: boolean;
}

/** Only a server that was not meant answers with it, before it runs anything. */
export const MISDIRECTED_STATUS = 421;
const FIRST_SUCCESS_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;
const FIRST_SERVER_ERROR_STATUS = 500;

/**
 * Decides from the head of a response how its send has ended.
 *
 * @example
 * ```ts
 * classifyResponse({...claims, status: 503, isNotRun: false}); // 'unprovenRejection'
 * ```
 */
export function classifyResponse(claims: ResponseClaims): AttemptEnd {
  const {status, isNotRun, asksForPause, isSigned, isEncoded} = claims;
  if (!claims.isForRequest) return 'garbled';
  if (status === MISDIRECTED_STATUS) return 'replaced';
  if (isNotRun) return asksForPause ? 'paused' : 'rejected';
  if (claimsNotRun(status)) return 'unprovenRejection';
  if (status >= FIRST_SERVER_ERROR_STATUS) return 'failed';
  const isSuccess =
    status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECT_STATUS;
  if (isSuccess && (!isSigned || isEncoded)) return 'garbled';
  return 'answered';
}
