import type {ReachNotice} from '@anvilrudder/core';
import {decodeText} from './announcement_fields.js';

const IS_REACHED_BY_FIELD: ReadonlyMap<string, boolean> = new Map([
  ['0', false],
  ['1', true],
]);

/**
 * Encodes a notice as fields without spaces.
 *
 * @example
 * ```ts
 * encodeReachNotice({service: 'app', isReached: false}); // ['app', '0']
 * ```
 */
export function encodeReachNotice({
  service,
  isReached,
}: ReachNotice): readonly string[] {
  return [encodeURIComponent(service), isReached ? '1' : '0'];
}

/** Decodes a notice; undefined if it is malformed. */
export function decodeReachNotice([
  serviceField,
  reachedField,
]: readonly string[]): ReachNotice | undefined {
  const service = decodeText(serviceField);
  const isReached = IS_REACHED_BY_FIELD.get(reachedField);
  if (!service || isReached === undefined) return undefined;
  return {service, isReached};
}
