import {createHmac, timingSafeEqual} from 'node:crypto';
import {RouterError} from '../errors/router_error.js';

/** Secret key for signing session tokens. */
export interface SessionKey {
  readonly id: string;
  /** At least {@link MIN_SECRET_BYTES} bytes. */
  readonly secret: Uint8Array;
}

/**
 * Keys in use: the first one signs new tokens, and all of them verify tokens. A
 * token expires when its key is removed from the list. Expiry does not use
 * timestamps, so the hosts' wall clocks need not agree.
 */
export interface SessionKeyRing {
  readonly keys: readonly SessionKey[];
}

/** Model versions that a session is pinned to for one kind of request. */
export interface SessionPin {
  readonly kind: string;
  /** `model@version` of each step, cheapest first. */
  readonly steps: readonly string[];
}

/** Content of a session token. */
export interface Session {
  readonly sessionId: string;
  readonly organisation: string;
  readonly pins: readonly SessionPin[];
}

/** Minimum length of a secret, in bytes. */
export const MIN_SECRET_BYTES = 32;

/** Maximum length of an accepted token, in characters. */
export const MAX_TOKEN_LENGTH = 4096;

const TOKEN_FORMAT = 's1';
const TOKEN_PART_COUNT = 4;

/**
 * Creates a signed token of the form `s1.<key id>.<payload>.<tag>`. Key id,
 * payload and tag are base64url-encoded; the tag is an HMAC-SHA256 of what
 * precedes it.
 *
 * @throws RangeError when the key ring is empty.
 * @example
 * ```ts
 * const token = signSession({sessionId: 's', organisation: 'o', pins: []}, ring);
 * ```
 */
export function signSession(session: Session, ring: SessionKeyRing): string {
  const key = ring.keys[0];
  if (key === undefined) throw new RangeError('The key ring is empty.');
  const payload = Buffer.from(JSON.stringify(session)).toString('base64url');
  const signed = `${TOKEN_FORMAT}.${encodeKeyId(key.id)}.${payload}`;
  return `${signed}.${computeTag(signed, key).toString('base64url')}`;
}

/**
 * Verifies a token and returns the session in it.
 *
 * @throws RouterError `invalid_session` when the token is malformed, forged,
 *     signed by a retired key or issued to another organisation.
 * @example
 * ```ts
 * const session = verifySession(token, 'colombo-one', ring);
 * ```
 */
export function verifySession(
  token: string,
  organisation: string,
  ring: SessionKeyRing,
): Session {
  const session = decodeVerified(token, ring);
  if (session.organisation !== organisation) {
    throw createSessionError('The session belongs to another organisation.');
  }
  return session;
}

/**
 * Returns the session's pin for a kind of request, if it has one.
 *
 * @example
 * ```ts
 * findPin(session, 'scout-question')?.steps; // ['quick@v1']
 * ```
 */
export function findPin(
  session: Session,
  kind: string,
): SessionPin | undefined {
  return session.pins.find(pin => pin.kind === kind);
}

/**
 * Adds a pin. An existing pin for the same kind is kept unchanged.
 *
 * @example
 * ```ts
 * addPin(session, {kind: 'icebreaker', steps: ['quick@v1']});
 * ```
 */
export function addPin(session: Session, pin: SessionPin): Session {
  if (findPin(session, pin.kind) !== undefined) return session;
  return {...session, pins: [...session.pins, pin]};
}

/**
 * Lists the version to which a session is pinned, by model.
 *
 * @example
 * ```ts
 * listPinnedVersions(session).get('quick'); // 'v1'
 * ```
 */
export function listPinnedVersions(
  session: Session,
): ReadonlyMap<string, string> {
  const versions = new Map<string, string>();
  for (const step of session.pins.flatMap(pin => pin.steps)) {
    const at = step.lastIndexOf('@');
    const model = step.slice(0, at);
    if (!versions.has(model)) versions.set(model, step.slice(at + 1));
  }
  return versions;
}

function decodeVerified(token: string, ring: SessionKeyRing): Session {
  if (token.length > MAX_TOKEN_LENGTH) {
    throw createSessionError('The session token is too long.');
  }
  const parts = token.split('.');
  if (parts.length !== TOKEN_PART_COUNT || parts[0] !== TOKEN_FORMAT) {
    throw createSessionError('The session token is malformed.');
  }
  const [, keyId, payload, tag] = parts;
  const key = ring.keys.find(each => encodeKeyId(each.id) === keyId);
  if (key === undefined) {
    throw createSessionError('The session has expired.');
  }
  const expected = computeTag(parts.slice(0, -1).join('.'), key);
  const actual = Buffer.from(tag, 'base64url');
  if (actual.length !== expected.length || !timingSafeEqual(actual, expected)) {
    throw createSessionError('The session token is not authentic.');
  }
  return JSON.parse(Buffer.from(payload, 'base64url').toString()) as Session;
}

function computeTag(signed: string, key: SessionKey): Buffer {
  return createHmac('sha256', key.secret).update(signed).digest();
}

function encodeKeyId(id: string): string {
  return Buffer.from(id).toString('base64url');
}

function createSessionError(message: string): RouterError {
  return RouterError.create(message, {code: 'invalid_session'});
}
