/**
 * Decodes a field of an announcement that was encoded as a URI component.
 *
 * @returns undefined for a missing or malformed field.
 * @example
 * ```ts
 * decodeText('a%20b'); // 'a b'
 * ```
 */
export function decodeText(field: string | undefined): string | undefined {
  try {
    return field === undefined ? undefined : decodeURIComponent(field);
  } catch {
    return undefined;
  }
}
