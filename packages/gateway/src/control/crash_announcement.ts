import type {QuarantinedPart, ServerCrash} from '@anvilrudder/core';

/** What a host tells the others about crashes of servers. */
export type CrashAnnouncement =
  | {readonly kind: 'crash'; readonly crash: ServerCrash}
  | {readonly kind: 'quarantine'; readonly parts: readonly QuarantinedPart[]}
  | {readonly kind: 'cleared'; readonly partIds: readonly string[]};

/** Maximum number of parts of one announcement, so that it fits a packet. */
export const MAX_ANNOUNCED_PARTS = 16;

/**
 * Encodes an announcement as fields without spaces.
 *
 * @example
 * ```ts
 * encodeCrashAnnouncement({kind: 'cleared', partIds: ['a']}); // ['cleared', 'a']
 * ```
 */
export function encodeCrashAnnouncement(
  announcement: CrashAnnouncement,
): readonly string[] {
  switch (announcement.kind) {
    case 'crash': {
      const {serverRun, partIds, waitedMs} = announcement.crash;
      const run = encodeURIComponent(serverRun);
      return ['crash', encodeIds(partIds), `${run},${Math.round(waitedMs)}`];
    }
    case 'quarantine': {
      const {parts} = announcement;
      return ['quarantine', ...parts.map(encodeQuarantinedPart)];
    }
    case 'cleared':
      return ['cleared', encodeIds(announcement.partIds)];
  }
}

type Decoder = (fields: readonly string[]) => CrashAnnouncement | undefined;

const DECODERS: ReadonlyMap<string, Decoder> = new Map<string, Decoder>([
  ['crash', decodeCrash],
  ['quarantine', decodeQuarantine],
  ['cleared', decodeCleared],
]);

/** Decodes an announcement; undefined if it is malformed. */
export function decodeCrashAnnouncement(
  fields: readonly string[],
): CrashAnnouncement | undefined {
  const [kind, ...rest] = fields;
  return DECODERS.get(kind)?.(rest);
}

function decodeCrash([ids, details]: readonly string[]):
  CrashAnnouncement | undefined {
  if (details === undefined) return undefined;
  const partIds = decodeIds(ids);
  const [run, waited] = details.split(',');
  const serverRun = decodeText(run);
  const waitedMs = Number(waited);
  if (partIds === undefined || !serverRun || !(waitedMs >= 0)) return undefined;
  return {kind: 'crash', crash: {serverRun, partIds, waitedMs}};
}

function decodeQuarantine(
  fields: readonly string[],
): CrashAnnouncement | undefined {
  const parts = fields.map(decodeQuarantinedPart);
  const isValid = parts.length > 0 && parts.every(part => part !== undefined);
  return isValid ? {kind: 'quarantine', parts} : undefined;
}

function decodeCleared([ids]: readonly string[]):
  CrashAnnouncement | undefined {
  const partIds = ids === undefined ? undefined : decodeIds(ids);
  return partIds && {kind: 'cleared', partIds};
}

/** Encodes a part as `remainingMs:id,companion,…`. */
function encodeQuarantinedPart({
  partId,
  companionIds,
  remainingMs,
}: QuarantinedPart): string {
  return `${Math.round(remainingMs)}:${encodeIds([partId, ...companionIds])}`;
}

function decodeQuarantinedPart(text: string): QuarantinedPart | undefined {
  const [remaining, encodedIds] = text.split(':');
  const remainingMs = Number(remaining);
  const ids = encodedIds === undefined ? undefined : decodeIds(encodedIds);
  if (ids === undefined || !(remainingMs > 0)) return undefined;
  const [partId, ...companionIds] = ids;
  return {partId, companionIds, remainingMs};
}

function encodeIds(partIds: readonly string[]): string {
  return partIds.slice(0, MAX_ANNOUNCED_PARTS).map(encodeURIComponent).join();
}

function decodeIds(text: string): readonly string[] | undefined {
  const ids = text.split(',').map(decodeText);
  return ids.every(id => id !== undefined && id !== '')
    ? (ids as readonly string[])
    : undefined;
}

function decodeText(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}
