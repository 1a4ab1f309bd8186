import {createHash} from 'node:crypto';
import type {MemberId} from '../types/identity.js';

/** Maximum size of an answer body that is kept in a claim, in bytes. */
export const MAX_RECORDED_BODY_BYTES = 64 * 1024;

/**
 * An answer of a backend server, kept for repeated calls with the same
 * idempotency key.
 */
export interface RecordedAnswer {
  readonly httpStatus: number;
  readonly contentType: string;
  /** Undefined for a body longer than {@link MAX_RECORDED_BODY_BYTES}. */
  readonly body: string | undefined;
}

/**
 * State of a claim. `held`: the holder may have sent the call. `released`: the
 * call did not run, and any process may claim the key again. `answered`: the
 * call ran and was answered. `unknown`: the call was sent and no answer was
 * received.
 */
export type ClaimState = 'held' | 'released' | 'answered' | 'unknown';

/** The stored object for one idempotency key of one organisation. */
export interface Claim {
  /** Unique to one claim attempt, so that a holder recognises its own claim. */
  readonly claimId: string;
  readonly holder: MemberId;
  readonly requestDigest: string;
  readonly state: ClaimState;
  /** Set when `state` is `answered`. */
  readonly answer?: RecordedAnswer;
}

/** Prefix of the object keys of all claims. */
export const CLAIM_PREFIX = 'claims/';

/**
 * Computes the object key of a claim. The idempotency key is hashed, since
 * callers may choose any length and any characters.
 *
 * @example
 * ```ts
 * resolveClaimKey('hanbit', 'order-7'); // 'claims/hanbit/3f2a…'
 * ```
 */
export function resolveClaimKey(
  organisation: string,
  idempotencyKey: string,
): string {
  const hash = createHash('sha256').update(idempotencyKey).digest('hex');
  return `${CLAIM_PREFIX}${encodeURIComponent(organisation)}/${hash}`;
}

/** Parses a claim; returns undefined when the text is not one. */
export function parseClaim(text: string): Claim | undefined {
  try {
    const value = JSON.parse(text) as Claim;
    const isClaim =
      typeof value.claimId === 'string' && typeof value.state === 'string';
    return isClaim ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Removes a body that is longer than {@link MAX_RECORDED_BODY_BYTES}. */
export function limitRecordedAnswer(answer: RecordedAnswer): RecordedAnswer {
  const {body} = answer;
  if (body === undefined) return answer;
  const isWithinLimit = Buffer.byteLength(body) <= MAX_RECORDED_BODY_BYTES;
  return isWithinLimit ? answer : {...answer, body: undefined};
}
