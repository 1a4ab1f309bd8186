import type {LoadedModel} from '../engine/engine_types.js';
import type {QualityTable} from '../rating/rating_stand_in.js';

function splitList(text: string): readonly string[] {
  return text.split(',').filter(item => item !== '');
}

/**
 * Parses `model@version,model@version`.
 *
 * @throws Error for an item without model or version.
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
 * Parses `model@version=0.8,model@version=0.6`.
 *
 * @throws Error for an item without a number.
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
 * Parses a number that is not negative.
 *
 * @throws Error for anything else.
 */
export function parseNumber(text: string): number {
  const value = Number(text);
  if (text.trim() === '' || !Number.isFinite(value) || value < 0) {
    throw new Error(`expected a number of at least 0, got "${text}"`);
  }
  return value;
}
