import {createHash} from 'node:crypto';

const UINT32_RANGE = 2 ** 32;

/** Maps a text to a number in [0, 1) that looks uniform and never changes. */
export function hashToUnitInterval(text: string): number {
  const digest = createHash('sha256').update(text).digest();
  return digest.readUInt32BE(0) / UINT32_RANGE;
}
