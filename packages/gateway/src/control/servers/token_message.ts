import {decodeText} from '../hosts/announcement_fields.js';

/** What hosts tell each other about tokens of the rate of a cold server. */
export type TokenMessage =
  | {
      /** The sender has a request and no token. */
      readonly kind: 'ask';
      readonly askId: number;
      readonly serverId: string;
      /** Start of the run of the server; undefined if it is not known. */
      readonly startedAtMs: number | undefined;
    }
  | {
      /** The token is the asking host's; the sender has subtracted it. */
      readonly kind: 'grant';
      readonly askId: number;
      /** Time until the sender has the next one. */
      readonly waitMs: number | undefined;
    }
  | {
      readonly kind: 'refuse';
      readonly askId: number;
      /** Time until the sender has a token; undefined if it has no share. */
      readonly waitMs: number | undefined;
    };

const NO_VALUE = '-';

/**
 * Encodes a message as fields without spaces.
 *
 * @example
 * ```ts
 * encodeTokenMessage({kind: 'grant', askId: 7, waitMs: 90}); // ['grant', '7', '90']
 * ```
 */
export function encodeTokenMessage(message: TokenMessage): readonly string[] {
  const fields = [message.kind, String(message.askId)];
  if (message.kind !== 'ask') return [...fields, encodeNumber(message.waitMs)];
  const {serverId, startedAtMs} = message;
  return [...fields, encodeURIComponent(serverId), encodeNumber(startedAtMs)];
}

/** Decodes a message; undefined if it is malformed. */
export function decodeTokenMessage([
  kind,
  id,
  third,
  fourth,
]: readonly string[]): TokenMessage | undefined {
  const askId = decodeNumber(id);
  if (typeof askId !== 'number') return undefined;
  if (kind === 'grant' || kind === 'refuse') {
    const waitMs = decodeNumber(third);
    return waitMs === null ? undefined : {kind, askId, waitMs};
  }
  const serverId = decodeText(third);
  const startedAtMs = decodeNumber(fourth);
  if (kind !== 'ask' || !serverId || startedAtMs === null) return undefined;
  return {kind, askId, serverId, startedAtMs};
}

function encodeNumber(value: number | undefined): string {
  return value === undefined ? NO_VALUE : String(Math.ceil(value));
}

/** Returns null for a malformed field, undefined for a missing value. */
function decodeNumber(text: string | undefined): number | undefined | null {
  if (text === NO_VALUE) return undefined;
  return text !== undefined && /^\d{1,15}$/.test(text) ? Number(text) : null;
}
