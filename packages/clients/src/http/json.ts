/** A parsed JSON object whose fields are not checked yet. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Parses a JSON object; undefined for anything else. */
export function parseJsonObject(text: string): JsonObject | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return isJsonObject(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

/** True for an object that is no array. */
export function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** The field as a finite number; undefined for anything else. */
export function readNumber(
  object: JsonObject,
  field: string,
): number | undefined {
  const value = object[field];
  return Number.isFinite(value) ? (value as number) : undefined;
}

/** The field as a string; undefined for anything else. */
export function readString(
  object: JsonObject,
  field: string,
): string | undefined {
  const value = object[field];
  return typeof value === 'string' ? value : undefined;
}

/** The field as a list of objects; undefined for anything else. */
export function readObjects(
  object: JsonObject,
  field: string,
): readonly JsonObject[] | undefined {
  const value = object[field];
  if (!Array.isArray(value) || !value.every(isJsonObject)) return undefined;
  return value;
}
