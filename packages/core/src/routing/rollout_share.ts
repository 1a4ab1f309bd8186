import {hashToUnitInterval} from '../utils/hash.js';
import type {ModelOption} from './model_option.js';

/**
 * Filters options by the shares of the rollouts: for each model, either one
 * version in rollout remains or all versions that are not in rollout. A key
 * keeps its version as long as the version's share does not decrease.
 *
 * @param key Session or request id.
 * @example
 * ```ts
 * selectByShare(options, 'session-1');
 * ```
 */
export function selectByShare(
  options: readonly ModelOption[],
  key: string,
): readonly ModelOption[] {
  if (options.every(option => option.share >= 1)) return options;
  const chosenByModel = new Map<string, ModelOption | undefined>();
  for (const {model} of options) {
    if (chosenByModel.has(model)) continue;
    const ofModel = options.filter(option => option.model === model);
    chosenByModel.set(model, findRolloutVersion(ofModel, key));
  }
  return options.filter(option => {
    const chosen = chosenByModel.get(option.model);
    return chosen === undefined ? option.share >= 1 : option === chosen;
  });
}

function findRolloutVersion(
  ofModel: readonly ModelOption[],
  key: string,
): ModelOption | undefined {
  let position = hashToUnitInterval(`${ofModel[0].model}/${key}`);
  for (const option of ofModel) {
    if (option.share >= 1) continue;
    if (position < option.share) return option;
    position -= option.share;
  }
  return undefined;
}
