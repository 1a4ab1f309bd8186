import type {ObjectStore, Ruling} from '@anvilrudder/core';

const RULINGS_KEY = 'decisions/rulings';
const MAX_ATTEMPTS = 5;

/**
 * Reads the rulings that outlast the entries.
 *
 * @example
 * ```ts
 * for (const ruling of await readRulings(store)) watch.mergeRuling(ruling);
 * ```
 */
export async function readRulings(
  store: ObjectStore,
): Promise<readonly Ruling[]> {
  const object = await store.get(RULINGS_KEY);
  return object === undefined ? [] : (JSON.parse(object.value) as Ruling[]);
}

/**
 * Adds a ruling to those that outlast the entries. Writing the same ruling
 * again, or an older one, changes nothing.
 *
 * @throws ObjectStoreError when the object API is out.
 * @example
 * ```ts
 * await writeRuling(store, ruling);
 * ```
 */
export async function writeRuling(
  store: ObjectStore,
  ruling: Ruling,
): Promise<void> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const object = await store.get(RULINGS_KEY);
    const before =
      object === undefined ? [] : (JSON.parse(object.value) as Ruling[]);
    const known = before.find(
      each => each.model === ruling.model && each.version === ruling.version,
    );
    if (known !== undefined && known.term >= ruling.term) return;
    const value = JSON.stringify([
      ...before.filter(each => each !== known),
      ruling,
    ]);
    const result = await store.put(
      RULINGS_KEY,
      value,
      object === undefined
        ? {kind: 'absent'}
        : {kind: 'version', version: object.version},
    );
    if (result.status === 'written') return;
  }
}
