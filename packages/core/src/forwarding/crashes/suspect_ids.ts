import {rankHost} from '../../utils/hash.js';
import type {PromptPart} from '../exchange_types.js';

/** A whole request with its repeats, or a part that prompts share. */
export type SuspectKind = 'request' | 'part';

/** Ids of parts never hold a colon. */
const REQUEST_PREFIX = 'request:';

/**
 * Lists what may be the cause if a server crashes on a request: the request
 * itself and the parts of its prompt that other requests may share.
 *
 * @param digest the same for repeats of the request.
 * @example
 * ```ts
 * listSuspectIds(digest, [{id: 'a', tokens: 9}, {id: 'own', tokens: 5}]);
 * // ['request:…', 'a']
 * ```
 */
export function listSuspectIds(
  digest: string,
  parts: readonly PromptPart[],
): readonly string[] {
  const sharedParts = parts.slice(0, -1);
  return [REQUEST_PREFIX + digest, ...sharedParts.map(({id}) => id)];
}

/** True for the id of a whole request, false for that of a prompt part. */
export function isRequestId(suspectId: string): boolean {
  return suspectId.startsWith(REQUEST_PREFIX);
}

/** Returns what a suspect is. */
export function getSuspectKind(suspectId: string): SuspectKind {
  return isRequestId(suspectId) ? 'request' : 'part';
}

/** Returns the digest of a whole request; undefined for a prompt part. */
export function readRequestDigest(suspectId: string): string | undefined {
  if (!isRequestId(suspectId)) return undefined;
  return suspectId.slice(REQUEST_PREFIX.length);
}

/** Inputs of {@link isTrialHost}. */
export interface TrialHostRequest {
  readonly suspectId: string;
  /** Address of this host, by which the others know it. */
  readonly address: string;
  readonly otherAddresses: readonly string[];
}

/**
 * True on the one host, the same from the view of all, that tries whether a
 * suspect still crashes servers.
 *
 * @example
 * ```ts
 * isTrialHost({suspectId, address: '10.0.0.1:70', otherAddresses: []}); // true
 * ```
 */
export function isTrialHost({
  suspectId,
  address,
  otherAddresses,
}: TrialHostRequest): boolean {
  return rankHost(suspectId, address, otherAddresses) === 0;
}
