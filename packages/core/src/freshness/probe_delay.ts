import type {Random} from '../utils/random.js';

/** Time in which no host probes the store again. */
const QUIET_MS = 400;
/** Time behind it in which some host does. */
const WINDOW_MS = 400;

/**
 * Draws the time until a host probes the store, unless it hears of the probe of
 * another host before. The first of all hosts probes between 0.4 and 0.8 s, and
 * few others do so before they hear of it, however many they are: most draw a
 * time near the end of the window.
 *
 * @param hostCount hosts that probe the same store, including this one.
 * @returns a duration in milliseconds.
 * @example
 * ```ts
 * const waitMs = drawProbeDelayMs(28, random);
 * ```
 */
export function drawProbeDelayMs(hostCount: number, random: Random): number {
  // The density of the truncated exponential distribution rises to the end.
  const slope = 1 + Math.log(Math.max(1, hostCount));
  const position = Math.log1p(random() * Math.expm1(slope)) / slope;
  return QUIET_MS + WINDOW_MS * position;
}
