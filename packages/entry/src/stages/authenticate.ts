import {createHash, timingSafeEqual} from 'node:crypto';
import {RouterError} from '@anvilrudder/core';

const BEARER_PREFIX = 'Bearer ';
const DIGEST_BYTES = 32;

/** A name and the SHA-256 digests, in hex, of the secrets that prove it. */
export interface Credential {
  readonly name: string;
  readonly digests: readonly string[];
}

/** Finds the name that a bearer secret belongs to. */
export interface Authenticator {
  /**
   * @returns undefined when the header is missing, malformed or unknown.
   */
  findName(authorization: string | undefined): string | undefined;
}

/**
 * Creates an authenticator over digests. Each digest is compared in constant
 * time and all of them are compared, so that timing tells nothing.
 *
 * @example
 * ```ts
 * const callers = createAuthenticator([{name: 'school-a', digests: [hex]}]);
 * callers.findName('Bearer secret'); // 'school-a'
 * ```
 */
export function createAuthenticator(
  credentials: readonly Credential[],
): Authenticator {
  const entries = credentials.flatMap(({name, digests}) =>
    digests.map(digest => ({name, digest: Buffer.from(digest, 'hex')})),
  );
  return {
    findName(authorization) {
      if (!authorization?.startsWith(BEARER_PREFIX)) return undefined;
      const secret = authorization.slice(BEARER_PREFIX.length);
      const digest = createHash('sha256').update(secret).digest();
      let found: string | undefined;
      for (const entry of entries) {
        const isComparable = entry.digest.length === DIGEST_BYTES;
        if (isComparable && timingSafeEqual(entry.digest, digest)) {
          found = entry.name;
        }
      }
      return found;
    },
  };
}

/**
 * Resolves the organisation of a caller.
 *
 * @throws RouterError `unauthenticated`.
 * @example
 * ```ts
 * const organisation = resolveOrganisation(callers, request.headers.authorization);
 * ```
 */
export function resolveOrganisation(
  authenticator: Authenticator,
  authorization: string | undefined,
): string {
  const name = authenticator.findName(authorization);
  if (name === undefined) {
    throw RouterError.create('The API key is missing or unknown.', {
      code: 'unauthenticated',
    });
  }
  return name;
}
