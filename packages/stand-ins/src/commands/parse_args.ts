import type {LoadedModel} from '../engine/engine_types.js';
import type {QualityTable} from '../rating/rating_stand_in.js';

function splitList(text: string): readonly string[] {
  return text.split(',').filter(item => item !== '');
}

/**
 * Parses a comma-separated list of model versions, `model@version,…`.
 *
 * @throws Error for an item without a model or a version.
 */
export function parseModels(text: string): readonly LoadedModel[] {
  return splitList(text).map(item => {
    const separatorIndex = item.lastIndexOf('@');
    if (separatorIndex <= 0 || separatorIndex === item.length - 1) {
      throw new Error(`expected model@version, got "${item}"`);
    }
    return {
      model: item.slice(0, separatorIndex),
      version: item.slice(separatorIndex + 1),
    };
  });
}

/**
 * Parses a comma-separated list of qualities, `model@version=0.8,…`.
 *
 * @throws Error for an item whose quality is not a number of at least 0.
 */
export function parseQualityTable(text: string): QualityTable {
  const entries = splitList(text).map(item => {
    const separatorIndex = item.lastIndexOf('=');
    const quality = parseNumber(item.slice(separatorIndex + 1));
    return [item.slice(0, separatorIndex), quality] as const;
  });
  return Object.fromEntries(entries);
}

/**
 * Parses a non-negative finite number.
 *
 * @throws Error if the text is empty, not a number, infinite or negative.
 */
export function parseNumber(text: string): number {
  const value = Number(text);
  if (text.trim() === '' || !Number.isFinite(value) || value < 0) {
    throw new Error(`expected a number of at least 0, got "${text}"`);
  }
  return value;
}
