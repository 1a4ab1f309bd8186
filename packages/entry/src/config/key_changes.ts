import type {Settings} from './settings_schema.js';

/** Kinds of secrets in the settings. */
export type KeyKind = 'API key' | 'operator token' | 'session key';

/** A change of a secret; it does not contain the secret itself. */
export interface KeyChange {
  readonly kind: KeyKind;
  /** Name of the organisation or operator, or id of the session key. */
  readonly name: string;
  /** `signs` for the session key that signs new tokens from now on. */
  readonly change: 'added' | 'removed' | 'signs';
}

interface NamedSecret {
  readonly name: string;
  readonly secret: string;
}

const SECRET_LISTS: ReadonlyMap<
  KeyKind,
  (settings: Settings) => readonly NamedSecret[]
> = new Map([
  [
    'API key',
    ({organisations}) =>
      organisations.flatMap(({name, keySha256}) =>
        keySha256.map(secret => ({name, secret})),
      ),
  ],
  [
    'operator token',
    ({operators}) =>
      operators.map(({name, tokenSha256}) => ({name, secret: tokenSha256})),
  ],
  [
    'session key',
    ({sessions}) =>
      sessions.keys.map(({id, secretBase64}) => ({
        name: id,
        secret: secretBase64,
      })),
  ],
]);

/**
 * Lists the differences between the secrets of two settings. A replaced secret
 * is reported as one added and one removed under the same name.
 *
 * @example
 * ```ts
 * listKeyChanges(before, after);
 * // [{kind: 'session key', name: 'k2', change: 'added'}]
 * ```
 */
export function listKeyChanges(
  before: Settings,
  after: Settings,
): readonly KeyChange[] {
  const changes: KeyChange[] = [];
  for (const [kind, listSecrets] of SECRET_LISTS) {
    const previous = listSecrets(before);
    const current = listSecrets(after);
    for (const {name} of subtract(current, previous)) {
      changes.push({kind, name, change: 'added'});
    }
    for (const {name} of subtract(previous, current)) {
      changes.push({kind, name, change: 'removed'});
    }
  }
  const signingKeyId = after.sessions.keys[0].id;
  if (signingKeyId !== before.sessions.keys[0].id) {
    changes.push({kind: 'session key', name: signingKeyId, change: 'signs'});
  }
  return changes;
}

function subtract(
  left: readonly NamedSecret[],
  right: readonly NamedSecret[],
): readonly NamedSecret[] {
  return left.filter(
    ({name, secret}) =>
      !right.some(other => other.name === name && other.secret === secret),
  );
}
