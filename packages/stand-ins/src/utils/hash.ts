import {createHash} from 'node:crypto';

const UINT32_RANGE = 2 ** 32;

/** Hashes a text to a uniformly distributed number in [0, 1). */
export function hashToUnitInterval(text: string): number {
  const digest = createHash('sha256').update(text).digest();
  return digest.readUInt32BE(0) / UINT32_RANGE;
}
