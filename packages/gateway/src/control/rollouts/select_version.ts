import type {ServerRecord} from '@anvilrudder/core';
import {
  chooseRolloutSide,
  mustKeepOldVersion,
  sideOf,
  type ActiveRollout,
} from './active_rollout.js';
import type {VersionKey, VersionSelection} from './version_selector.js';

/** What is known of the versions of a service. */
export interface KnownVersions {
  /** Undefined if none is ordered. */
  readonly rollout: ActiveRollout | undefined;
  /** Last version while all servers ran the same one. */
  readonly stableVersion: string | undefined;
}

/**
 * Selects the servers of the version that a request may go to, among those that may
 * receive it.
 *
 * @example
 * ```ts
 * const {records} = selectVersion(versions, servers, key, () => true);
 * ```
 */
export function selectVersion(
  versions: KnownVersions,
  records: readonly ServerRecord[],
  key: VersionKey,
  mayReceive: (record: ServerRecord) => boolean,
): VersionSelection {
  const selection = selectAmongAll(versions, records, key);
  const {basis} = selection;
  const open = selection.records.filter(mayReceive);
  if (open.length === selection.records.length) return selection;
  if (open.length > 0) return {...selection, records: open};
  const others = records.filter(mayReceive);
  if (others.length === 0) return {records: [], basis};
  const {rollout} = versions;
  if (rollout !== undefined && mustKeepEvacuated(rollout, key, others))
    return {records: [], basis: 'evacuated'};
  return {records: others, basis: 'noServerLeft'};
}

/** True if all servers run the same version, or there are none. */
export function haveSameVersion(records: readonly ServerRecord[]): boolean {
  const first = records[0]?.server.softwareVersion;
  return records.every(({server}) => server.softwareVersion === first);
}

function selectAmongAll(
  versions: KnownVersions,
  records: readonly ServerRecord[],
  key: VersionKey,
): VersionSelection {
  const {rollout} = versions;
  if (haveSameVersion(records)) {
    if (rollout === undefined || !isOfNewVersion(rollout, records))
      return {records, basis: undefined};
  }
  const selection = selectSide(versions, records, key);
  if (selection.records.length > 0) return selection;
  if (rollout !== undefined && mustKeepOldVersion(rollout, key)) {
    const {target} = rollout.plan.order;
    return {records: [], basis: 'oldVersionLost', lostBefore: target};
  }
  return {records, basis: 'noServerLeft'};
}

function selectSide(
  {rollout, stableVersion}: KnownVersions,
  records: readonly ServerRecord[],
  key: VersionKey,
): VersionSelection {
  if (rollout === undefined) {
    const stable = records.filter(
      ({server}) => server.softwareVersion === stableVersion,
    );
    return {records: stable, basis: 'stable'};
  }
  const {side, basis} = chooseRolloutSide(rollout, key, performance.now());
  const ofSide = records.filter(
    ({server}) => sideOf(rollout, server.softwareVersion) === side,
  );
  return {records: ofSide, basis};
}

/**
 * True if a request must not move to the servers of another version because
 * those of its own are evacuated.
 */
function mustKeepEvacuated(
  rollout: ActiveRollout,
  key: VersionKey,
  others: readonly ServerRecord[],
): boolean {
  if (key.session !== undefined && rollout.plan.holdsSessions) return true;
  return isOfNewVersion(rollout, others) && mustKeepOldVersion(rollout, key);
}

function isOfNewVersion(
  rollout: ActiveRollout,
  records: readonly ServerRecord[],
): boolean {
  const version = records[0]?.server.softwareVersion;
  return version !== undefined && sideOf(rollout, version) === 'new';
}
