import {createHash} from 'node:crypto';
import type {MemberId} from '../types/identity.js';

/** Longest answer body that a claim keeps for later callers, in bytes. */
export const MAX_RECORDED_BODY_BYTES = 64 * 1024;

/** An answer of a backend server, as kept for later callers with the key. */
export interface RecordedAnswer {
  readonly httpStatus: number;
  readonly contentType: string;
  /** Undefined when the body was longer than {@link MAX_RECORDED_BODY_BYTES}. */
  readonly body: string | undefined;
}

/**
 * State of a claim. `held`: the holder may have sent the call. `released`:
 * nothing was sent and anyone may claim anew. `answered`: ran, with its
 * answer. `unknown`: sent, and no answer came.
 */
export type ClaimState = 'held' | 'released' | 'answered' | 'unknown';

/** The object that stands for one idempotency key of one organisation. */
export interface Claim {
  /** Unique to one attempt to claim, so that a holder knows its own claim. */
  readonly claimId: string;
  readonly holder: MemberId;
  readonly requestDigest: string;
  readonly state: ClaimState;
  /** Set when `state` is `answered`. */
  readonly answer?: RecordedAnswer;
}

/** Prefix of all claims. */
export const CLAIM_PREFIX = 'claims/';

/**
 * Computes the object key of a claim. The idempotency key is hashed, since
 * callers choose its length and characters.
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

/** Parses a claim; undefined when the text is not one. */
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

/** Drops a body that is too long to be kept. */
export function limitRecordedAnswer(answer: RecordedAnswer): RecordedAnswer {
  const {body} = answer;
  if (body === undefined) return answer;
  const isKept = Buffer.byteLength(body) <= MAX_RECORDED_BODY_BYTES;
  return isKept ? answer : {...answer, body: undefined};
}
