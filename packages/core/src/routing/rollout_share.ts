import {hashToUnitInterval} from '../utils/hash.js';
import type {ModelOption} from './model_option.js';

/**
 * Keeps the options that a request may get under the shares of the roll-outs:
 * of each model, either one version in roll-out or the versions without one.
 * The same key gets the same version while its share does not shrink.
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
  let unit = hashToUnitInterval(`${ofModel[0].model}/${key}`);
  for (const option of ofModel) {
    if (option.share >= 1) continue;
    if (unit < option.share) return option;
    unit -= option.share;
  }
  return undefined;
}
