import {createHmac, timingSafeEqual} from 'node:crypto';
import {RouterError} from '../errors/router_error.js';

/** A secret that signs session tokens. */
export interface SessionKey {
  readonly id: string;
  /** At least {@link MIN_SECRET_BYTES} bytes. */
  readonly secret: Uint8Array;
}

/**
 * Keys in use: the first signs new tokens, all of them verify. A token
 * expires when its key is taken off the list, so that no two hosts ever
 * compare their wall clocks.
 */
export interface SessionKeyRing {
  readonly keys: readonly SessionKey[];
}

/** The versions that a session keeps for one kind of request. */
export interface SessionPin {
  readonly kind: string;
  /** `model@version` of each step, cheapest first. */
  readonly steps: readonly string[];
}

/** What a session token carries. */
export interface Session {
  readonly sessionId: string;
  readonly organisation: string;
  readonly pins: readonly SessionPin[];
}

/** Shortest secret that signs tokens, in bytes. */
export const MIN_SECRET_BYTES = 32;

/** Longest token accepted, in characters. */
export const MAX_TOKEN_LENGTH = 4096;

const TOKEN_FORMAT = 's1';
const TOKEN_PART_COUNT = 4;

/**
 * Signs a session into a token of the form `s1.<key id>.<payload>.<tag>`.
 *
 * @throws RangeError when the ring holds no key.
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
 * Verifies a token and returns the session it carries.
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
 * Returns the pin of a kind, if the session has one.
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
 * Adds a pin; an existing pin of the same kind stays as it is.
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
 * Lists the version that a session keeps for each model it has used.
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
