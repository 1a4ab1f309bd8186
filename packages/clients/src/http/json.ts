/** A parsed JSON object with unvalidated fields. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Parses a JSON object; returns undefined for anything else. */
export function parseJsonObject(text: string): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isJsonObject(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/** Returns true for an object that is neither null nor an array. */
export function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns the field if it is a finite number, otherwise undefined. */
export function readNumber(
  object: JsonObject,
  field: string,
): number | undefined {
  const value = object[field];
  return Number.isFinite(value) ? (value as number) : undefined;
}

/** Returns the field if it is a string, otherwise undefined. */
export function readString(
  object: JsonObject,
  field: string,
): string | undefined {
  const value = object[field];
  return typeof value === 'string' ? value : undefined;
}

/** Returns the field if it is an integer that numbers hold exactly. */
export function readInteger(
  object: JsonObject,
  field: string,
): number | undefined {
  const value = object[field];
  return Number.isSafeInteger(value) ? (value as number) : undefined;
}

/**
 * Returns the items of a field that are objects, without those that are not;
 * undefined if it is no array.
 */
export function readObjectItems(
  object: JsonObject,
  field: string,
): readonly JsonObject[] | undefined {
  const value = object[field];
  return Array.isArray(value) ? value.filter(isJsonObject) : undefined;
}

/** Returns the field if it is an array of objects, otherwise undefined. */
export function readObjects(
  object: JsonObject,
  field: string,
): readonly JsonObject[] | undefined {
  const value = object[field];
  if (!Array.isArray(value) || !value.every(isJsonObject)) return undefined;
  return value;
}
