import {createHash, timingSafeEqual} from 'node:crypto';
import {RouterError} from '@anvilrudder/core';

const BEARER_PREFIX = 'Bearer ';
const DIGEST_BYTES = 32;

/** A name and the SHA-256 digests, in hex, of its valid bearer secrets. */
export interface Credential {
  readonly name: string;
  readonly digests: readonly string[];
}

/** Finds the name that a bearer secret belongs to. */
export interface Authenticator {
  /**
   * @param authorization Value of the `Authorization` header.
   * @returns undefined when the header is missing or malformed, or when its
   *     secret is unknown.
   */
  findName(authorization: string | undefined): string | undefined;
}

/**
 * Creates an authenticator from the digests of secrets. It compares all
 * digests, each in constant time, so that the timing reveals nothing about the
 * secrets.
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
 * Resolves the organisation that an `Authorization` header belongs to.
 *
 * @throws RouterError `unauthenticated` when the API key is missing or unknown.
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
