import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();
const UINT32_RANGE = 0x1_0000_0000;

/**
 * Hashes a string to an unsigned 32-bit integer. The hash is the same on every
 * host and after every restart.
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
 * Hashes a string to a number in [0, 1).
 *
 * @example
 * ```ts
 * const isInRollout = hashToUnitInterval('session-1') < share;
 * ```
 */
export function hashToUnitInterval(text: string, seed = 0): number {
  return hashToUint32(text, seed) / UINT32_RANGE;
}

/**
 * Mixes two hashes to a third one, which is cheaper than a hash of both texts.
 *
 * @example
 * ```ts
 * const rank = mixHashes(hashToUint32(prefix), hashToUint32(serverId));
 * ```
 */
export function mixHashes(a: number, b: number): number {
  let mixed =
    Math.imul(a ^ (b >>> 16), 0x85eb_ca6b) ^ Math.imul(b, 0xc2b2_ae35);
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x2c1b_3c6d);
  mixed = Math.imul(mixed ^ (mixed >>> 12), 0x297a_2d39);
  return (mixed ^ (mixed >>> 15)) >>> 0;
}

/**
 * Ranks a host among all hosts by a hash with a key. All hosts that know each
 * other compute the same ranks, so that a few of them are found without a message.
 *
 * @param address of the host, by which the others know it.
 * @returns the number of hosts before it; 0 for the first one.
 * @example
 * ```ts
 * rankHost('i-1', '10.0.0.1:70', ['10.0.0.2:70']); // 0 or 1
 * ```
 */
export function rankHost(
  key: string,
  address: string,
  otherAddresses: readonly string[],
): number {
  const ownHash = hashToUint32(`${key}/${address}`);
  return otherAddresses.filter(
    other => hashToUint32(`${key}/${other}`) > ownHash,
  ).length;
}
