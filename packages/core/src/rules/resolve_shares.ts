import {groupBy, type IndexedVersion} from './rule_index.js';

/**
 * Computes the share of its model's new work that each given version gets.
 *
 * Withdrawn and drained versions get 0. A version with a `rollout` rule gets
 * the share of the rule; the remaining versions divide the rest equally. When
 * all versions that are neither withdrawn nor drained have a `rollout` rule,
 * their shares are scaled to add up to 1, so that a model whose stable version
 * was withdrawn still gets all of its new work served.
 *
 * @returns one share between 0 and 1 per given version, in the same order.
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
