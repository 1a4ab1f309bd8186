import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();
const UINT32_RANGE = 0x1_0000_0000;

/**
 * Hashes a text to 32 bits; the same on every host and after every restart.
 *
 * @example
 * ```ts
 * hashToUint32('session-1') === hashToUint32('session-1'); // true
 * ```
 */
export function hashToUint32(text: string, seed = 0): number {
  return xxhash.h32(text, seed);
}

/**
 * Hashes a text to a number in [0, 1).
 *
 * @example
 * ```ts
 * const isInRollout = hashToUnitInterval('session-1') < share;
 * ```
 */
export function hashToUnitInterval(text: string, seed = 0): number {
  return hashToUint32(text, seed) / UINT32_RANGE;
}
