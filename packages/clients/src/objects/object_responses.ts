import type {
  ObjectPage,
  StoredObject,
  WatchEvent,
  WatchPage,
} from '@anvilrudder/core';
import {
  readNumber,
  readObjects,
  readString,
  type JsonObject,
} from '../http/json.js';

/**
 * Reads an object with the fields `key`, `version` and `value`; undefined when
 * one is missing or malformed.
 */
export function readStoredObject(body: JsonObject): StoredObject | undefined {
  const key = readString(body, 'key');
  const version = readNumber(body, 'version');
  const value = readString(body, 'value');
  if (key === undefined || version === undefined || value === undefined) {
    return undefined;
  }
  return {key, version, value};
}

function readWatchEvent(body: JsonObject): WatchEvent | undefined {
  const key = readString(body, 'key');
  const version = readNumber(body, 'version');
  if (key === undefined || version === undefined) return undefined;
  return {key, version, value: readString(body, 'value')};
}

function readEach<T>(
  bodies: readonly JsonObject[] | undefined,
  read: (body: JsonObject) => T | undefined,
): readonly T[] | undefined {
  const items = bodies?.map(read);
  if (items === undefined || items.includes(undefined)) return undefined;
  return items as readonly T[];
}

/** Reads the response to a list call; undefined when it is malformed. */
export function readObjectPage(body: JsonObject): ObjectPage | undefined {
  const objects = readEach(readObjects(body, 'objects'), readStoredObject);
  const storeVersion = readNumber(body, 'storeVersion');
  if (objects === undefined || storeVersion === undefined) return undefined;
  return {objects, storeVersion, nextAfter: readString(body, 'nextAfter')};
}

/** Reads the response to a watch call; undefined when it is malformed. */
export function readWatchPage(body: JsonObject): WatchPage | undefined {
  const events = readEach(readObjects(body, 'events'), readWatchEvent);
  const storeVersion = readNumber(body, 'storeVersion');
  if (events === undefined || storeVersion === undefined) return undefined;
  return {events, storeVersion};
}
