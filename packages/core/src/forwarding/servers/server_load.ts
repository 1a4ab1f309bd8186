import type {ServerRecord} from './server_record.js';

/** Time in which half of the requests announced by other hosts have ended. */
const REMOTE_HALF_LIFE_MS = 1000;

/**
 * Estimates the running requests of other hosts at a server. Hosts announce the
 * start of a request but not its end.
 */
export function estimateRemoteRunning(
  {remoteRequestCount, remoteUpdatedMs}: ServerRecord,
  nowMs: number,
): number {
  if (remoteRequestCount === 0) return 0;
  return (
    remoteRequestCount *
    0.5 ** ((nowMs - remoteUpdatedMs) / REMOTE_HALF_LIFE_MS)
  );
}

/** Estimates the time until a server has done the work sent to it so far. */
export function estimateBacklogMs(record: ServerRecord, nowMs: number): number {
  return Math.max(0, record.unansweredWorkMs, record.backlogEndMs - nowMs);
}
