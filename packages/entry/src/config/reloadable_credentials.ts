import type {SessionKey, SessionKeyRing} from '@anvilrudder/core';
import {
  createAuthenticator,
  type Authenticator,
} from '../stages/authenticate.js';
import type {Settings} from './settings_schema.js';

/** The secrets that requests are checked with, replaced by a reload. */
export interface ReloadableCredentials {
  readonly callers: Authenticator;
  readonly sessionKeys: SessionKeyRing;
  /** Puts the secrets of other settings in force. */
  update(settings: Settings): void;
}

/**
 * Creates the credentials of an entry from its settings.
 *
 * @example
 * ```ts
 * const credentials = createReloadableCredentials(settings);
 * credentials.update(changed);
 * ```
 */
export function createReloadableCredentials(
  settings: Settings,
): ReloadableCredentials {
  let callers = createCallers(settings);
  let keys = createSessionKeys(settings);
  return {
    callers: {findName: authorization => callers.findName(authorization)},
    sessionKeys: {
      get keys() {
        return keys;
      },
    },
    update(changed) {
      callers = createCallers(changed);
      keys = createSessionKeys(changed);
    },
  };
}

function createCallers({organisations}: Settings): Authenticator {
  return createAuthenticator(
    organisations.map(({name, keySha256}) => ({
      name,
      digests: keySha256,
    })),
  );
}

function createSessionKeys({sessions}: Settings): readonly SessionKey[] {
  return sessions.keys.map(({id, secretBase64}) => ({
    id,
    secret: Buffer.from(secretBase64, 'base64'),
  }));
}
