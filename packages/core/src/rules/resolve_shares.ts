import {groupBy, type IndexedVersion} from './rule_index.js';

/**
 * Splits the new work of each model among the given versions.
 *
 * Withdrawn and drained versions get nothing. A version with a `rollout` rule
 * gets its share; the versions without one divide what is left equally. When
 * every version left has a `rollout` rule, their shares are scaled to a
 * whole, so that a model whose stable version was withdrawn still serves.
 *
 * @returns one share between 0 and 1 for each given version, in their order.
 */
export function resolveShares(
  versions: readonly IndexedVersion[],
): readonly number[] {
  const open = versions.filter(isOpen);
  const byModel = groupBy(open, ({rule}) => rule.model);
  const shares = new Map<IndexedVersion, number>();
  for (const group of byModel.values()) assignShares(group, shares);
  return versions.map(version => shares.get(version) ?? 0);
}

function isOpen({drain, withdrawal}: IndexedVersion): boolean {
  return drain === undefined && withdrawal === undefined;
}

function assignShares(
  group: readonly IndexedVersion[],
  shares: Map<IndexedVersion, number>,
): void {
  const rolloutTotal = group.reduce(
    (sum, {rollout}) => sum + (rollout?.share ?? 0),
    0,
  );
  const restCount = group.filter(({rollout}) => rollout === undefined).length;
  const restShare = Math.max(0, 1 - rolloutTotal) / Math.max(1, restCount);
  const scale = restCount === 0 && rolloutTotal > 0 ? 1 / rolloutTotal : 1;
  for (const version of group) {
    const {rollout} = version;
    const share = rollout === undefined ? restShare : rollout.share * scale;
    shares.set(version, share);
  }
}
