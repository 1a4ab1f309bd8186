import type {ObjectStore, Ruling} from '@anvilrudder/core';

const RULINGS_KEY = 'decisions/rulings';
const MAX_ATTEMPTS = 5;

/**
 * Reads the rulings in the object API, where they survive restarts of all
 * entries.
 *
 * @throws ObjectStoreError when the object API is unavailable.
 * @example
 * ```ts
 * for (const ruling of await readRulings(store)) rollouts.mergeRuling(ruling);
 * ```
 */
export async function readRulings(
  store: ObjectStore,
): Promise<readonly Ruling[]> {
  const object = await store.get(RULINGS_KEY);
  return object === undefined ? [] : (JSON.parse(object.value) as Ruling[]);
}

/**
 * Adds a ruling to those in the object API, or replaces an older ruling on the
 * same version. Writing the same ruling again, or an older one, has no effect.
 *
 * @throws ObjectStoreError when the object API is unavailable.
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
