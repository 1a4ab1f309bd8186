import type {AttemptEnd} from '@anvilrudder/core';
import {sideOf, type ActiveRollout} from './active_rollout.js';
import type {VersionOutcome} from './version_selector.js';

/**
 * Whether an attempt end counts as a failure of the version. Ends that are
 * missing here are caused by load or the network.
 */
const IS_VERSION_FAILURE: Readonly<Partial<Record<AttemptEnd, boolean>>> = {
  answered: false,
  failed: true,
  unprovenRejection: true,
  lost: true,
  garbled: true,
};

/** Adds the outcome of a send to the evidence for and against a new version. */
export function recordAnswer(
  rollout: ActiveRollout,
  outcome: VersionOutcome,
): void {
  const {version, route, end} = outcome;
  const side = sideOf(rollout, version);
  // After sampling, full load and cold caches slow down the new version.
  const isSampling = rollout.lastPhase === 'sampling';
  const slowness = isSampling ? outcome.slowness : undefined;
  const isSlow = isSampling ? outcome.isSlow : undefined;
  if (end === undefined) {
    if (isSlow) rollout.evidence.recordUnfinishedSlow(route, side);
    return;
  }
  const hasFailed = IS_VERSION_FAILURE[end];
  if (hasFailed === undefined) return;
  rollout.evidence.record({route, side, hasFailed, slowness, isSlow});
}
