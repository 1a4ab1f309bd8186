import {isEjected} from '../forwarding/servers/server_health.js';
import {isPaused} from '../forwarding/servers/server_availability.js';
import {estimateRemoteRunning} from '../forwarding/servers/server_load.js';
import type {ServerRecord} from '../forwarding/servers/server_record.js';

/**
 * Estimates the occupied share of the slots of the servers that may receive
 * requests. Hosts announce only long prefills, so short requests of the other
 * hosts are estimated from those of this host, as if all hosts had equal demand.
 * With unequal demand, the estimate errs by the ratio of this host's demand to
 * the mean.
 *
 * @param hostCount hosts that send to the servers, this one included.
 * @returns 1 if no server may receive requests; may exceed 1.
 * @example
 * ```ts
 * const share = estimateOccupiedShare(table.list('engine'), 4, nowMs);
 * ```
 */
export function estimateOccupiedShare(
  records: readonly ServerRecord[],
  hostCount: number,
  nowMs: number,
): number {
  let slots = 0;
  let ownCount = 0;
  let remoteCount = 0;
  for (const record of records) {
    const {availability, health, server} = record;
    if (availability.isLeaving || isPaused(availability, nowMs)) continue;
    if (isEjected(health, nowMs)) continue;
    slots += server.slots;
    ownCount += record.inFlight;
    remoteCount += estimateRemoteRunning(record, nowMs);
  }
  if (slots === 0) return 1;
  return Math.max(ownCount * hostCount, ownCount + remoteCount) / slots;
}
