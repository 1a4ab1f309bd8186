/** What a probe of the store has shown; hosts tell it to each other. */
export interface StoreProbe {
  /** Era of all versions; undefined if the store has told none. */
  readonly era: number | undefined;
  /** Store version up to which all changes are known. */
  readonly checkedVersion: number;
  /**
   * By kind of object, the version that a watch must have reached to have
   * delivered all known changes.
   */
  readonly known: ReadonlyMap<string, number>;
}

const NO_ERA = '-';

/** Encodes a probe as the fields of a datagram. */
export function encodeStoreProbe({
  era,
  checkedVersion,
  known,
}: StoreProbe): readonly string[] {
  const versions = [...known].map(([kind, version]) => `${kind}:${version}`);
  return [String(era ?? NO_ERA), String(checkedVersion), ...versions];
}

/**
 * Decodes the fields of a datagram.
 *
 * @returns undefined if a field is malformed.
 * @example
 * ```ts
 * decodeStoreProbe(['1', '120', 'servers/:118'])?.checkedVersion; // 120
 * ```
 */
export function decodeStoreProbe(
  fields: readonly string[],
): StoreProbe | undefined {
  const [eraField = '', checkedField = '', ...versionFields] = fields;
  const era = eraField === NO_ERA ? undefined : parseVersion(eraField);
  if (eraField !== NO_ERA && era === undefined) return undefined;
  const checkedVersion = parseVersion(checkedField);
  if (checkedVersion === undefined) return undefined;
  const known = new Map<string, number>();
  for (const field of versionFields) {
    const [kind, versionField = ''] = field.split(':');
    const version = parseVersion(versionField);
    if (version === undefined) return undefined;
    known.set(kind, version);
  }
  return {era, checkedVersion, known};
}

function parseVersion(field: string): number | undefined {
  return /^\d{1,15}$/.test(field) ? Number(field) : undefined;
}
