import type {PaceObservation} from '@anvilrudder/core';

/** Steps of the logarithm of a pace in a datagram. */
const STEPS_PER_UNIT = 100;
const MAX_STEPS = 1000;
/** More entries than one datagram of a host has count as malformed. */
const MAX_ENTRIES = 16;
const ENTRY = /^([^\s:,]+):(-?\d{1,4})$/;

/** Formats observations as `server:steps` entries of a datagram. */
export function encodePaces(paces: readonly PaceObservation[]): string {
  return paces
    .map(
      ({serverId, logPace}) =>
        `${serverId}:${Math.round(logPace * STEPS_PER_UNIT)}`,
    )
    .filter(entry => ENTRY.test(entry))
    .join();
}

/** Parses the entries; undefined if one is malformed. */
export function decodePaces(
  text: string,
): readonly PaceObservation[] | undefined {
  const entries = text.split(',');
  if (entries.length > MAX_ENTRIES) return undefined;
  const paces: PaceObservation[] = [];
  for (const entry of entries) {
    const match = ENTRY.exec(entry);
    const steps = Number(match?.[2]);
    if (match === null || Math.abs(steps) > MAX_STEPS) return undefined;
    paces.push({serverId: match[1], logPace: steps / STEPS_PER_UNIT});
  }
  return paces;
}
