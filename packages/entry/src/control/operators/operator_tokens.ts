import {createHash, timingSafeEqual} from 'node:crypto';

/** An operator and the digest of the token that authenticates it. */
export interface OperatorToken {
  readonly name: string;
  /** SHA-256 of the token, in hexadecimal. */
  readonly sha256: string;
}

/** Finds operators by their token. */
export interface OperatorDirectory {
  /** Returns the operator's name, or undefined for an unknown token. */
  findOperator(token: string): string | undefined;
}

interface OperatorDigest {
  readonly name: string;
  readonly digest: Buffer;
}

const HEX_SHA256 = /^[0-9a-f]{64}$/i;
const BEARER_HEADER = /^Bearer ([!-~]{1,512})$/i;

/**
 * Creates a directory of operators. A lookup compares the digest of the
 * presented token with every known digest in constant time.
 *
 * @throws TypeError when a digest is not a SHA-256 in hexadecimal.
 * @example
 * ```ts
 * const directory = createOperatorDirectory([
 *   {name: 'kim', sha256: digestOperatorToken('secret')},
 * ]);
 * directory.findOperator('secret'); // 'kim'
 * ```
 */
export function createOperatorDirectory(
  tokens: readonly OperatorToken[],
): OperatorDirectory {
  const digests = tokens.map(parseOperatorDigest);
  return {
    findOperator: token => findOperatorName(digests, computeDigest(token)),
  };
}

/**
 * Computes the digest of a token in the form used in the settings.
 *
 * @example
 * ```ts
 * digestOperatorToken('secret').length; // 64
 * ```
 */
export function digestOperatorToken(token: string): string {
  return computeDigest(token).toString('hex');
}

/**
 * Reads the token of an `Authorization: Bearer` header.
 *
 * @returns undefined when the header is missing or malformed.
 *
 * @example
 * ```ts
 * readBearerToken('Bearer abc'); // 'abc'
 * ```
 */
export function readBearerToken(header: string | null): string | undefined {
  return BEARER_HEADER.exec(header ?? '')?.[1];
}

function parseOperatorDigest({name, sha256}: OperatorToken): OperatorDigest {
  if (!HEX_SHA256.test(sha256)) {
    throw new TypeError(
      `The token digest of operator ${name} is not a hexadecimal SHA-256.`,
    );
  }
  return {name, digest: Buffer.from(sha256, 'hex')};
}

// Compares every digest, so that the duration does not reveal which one
// matched.
function findOperatorName(
  digests: readonly OperatorDigest[],
  digest: Buffer,
): string | undefined {
  let found: string | undefined;
  for (const candidate of digests) {
    if (timingSafeEqual(candidate.digest, digest)) found = candidate.name;
  }
  return found;
}

function computeDigest(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}
