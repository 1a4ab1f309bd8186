import type {Quarantine, ServerCrash} from '@anvilrudder/core';
import {decodeText} from '../hosts/announcement_fields.js';

/** What a host tells the others about crashes of servers. */
export type CrashAnnouncement =
  | {readonly kind: 'crash'; readonly crashes: readonly ServerCrash[]}
  | {readonly kind: 'quarantine'; readonly quarantines: readonly Quarantine[]}
  | {
      /** `knownSound`: answered at some time; `cleared`: answered just now. */
      readonly kind: 'cleared' | 'knownSound';
      readonly suspectIds: readonly string[];
    };

/** Maximum number of entries of one announcement, so that it fits a packet. */
export const MAX_ANNOUNCED_SUSPECTS = 16;

/** Maximum number of crashes of one announcement, each with its suspects. */
export const MAX_ANNOUNCED_CRASHES = 6;

/** Marks a crash behind the beginning of an answer. */
const BEGUN = 'begun';

/**
 * Encodes an announcement as fields without spaces.
 *
 * @example
 * ```ts
 * encodeCrashAnnouncement({kind: 'cleared', suspectIds: ['a']}); // ['cleared', 'a']
 * ```
 */
export function encodeCrashAnnouncement(
  announcement: CrashAnnouncement,
): readonly string[] {
  switch (announcement.kind) {
    case 'crash':
      return ['crash', ...announcement.crashes.flatMap(encodeCrash)];
    case 'quarantine':
      return ['quarantine', ...announcement.quarantines.map(encodeQuarantine)];
    case 'cleared':
    case 'knownSound':
      return [announcement.kind, encodeIds(announcement.suspectIds)];
  }
}

type Decoder = (fields: readonly string[]) => CrashAnnouncement | undefined;

const DECODERS: ReadonlyMap<string, Decoder> = new Map<string, Decoder>([
  ['crash', decodeCrashes],
  ['quarantine', decodeQuarantines],
  ['cleared', fields => decodeSound('cleared', fields)],
  ['knownSound', fields => decodeSound('knownSound', fields)],
]);

/** Decodes an announcement; undefined if it is malformed. */
export function decodeCrashAnnouncement(
  fields: readonly string[],
): CrashAnnouncement | undefined {
  const [kind, ...rest] = fields;
  return DECODERS.get(kind)?.(rest);
}

/** Encodes a crash as two fields: `id,…` and `run,waitedMs[,begun]`. */
function encodeCrash({
  serverRun,
  suspectIds,
  waitedMs,
  hasBegun,
}: ServerCrash): readonly string[] {
  const details = [encodeURIComponent(serverRun), Math.round(waitedMs)];
  return [
    encodeIds(suspectIds),
    [...details, ...(hasBegun ? [BEGUN] : [])].join(),
  ];
}

function decodeCrashes(
  fields: readonly string[],
): CrashAnnouncement | undefined {
  const crashes: ServerCrash[] = [];
  for (let index = 0; index < fields.length; index += 2) {
    const crash = decodeCrash(fields[index], fields[index + 1]);
    if (crash === undefined) return undefined;
    crashes.push(crash);
  }
  return crashes.length > 0 ? {kind: 'crash', crashes} : undefined;
}

function decodeCrash(
  ids: string,
  details: string | undefined,
): ServerCrash | undefined {
  if (details === undefined) return undefined;
  const suspectIds = decodeIds(ids);
  const [run, waited, begun] = details.split(',');
  const serverRun = decodeText(run);
  const waitedMs = Number(waited);
  if (suspectIds === undefined || !serverRun || !(waitedMs >= 0))
    return undefined;
  return {serverRun, suspectIds, waitedMs, hasBegun: begun === BEGUN};
}

function decodeQuarantines(
  fields: readonly string[],
): CrashAnnouncement | undefined {
  const quarantines = fields.map(decodeQuarantine);
  const isValid =
    quarantines.length > 0 && quarantines.every(q => q !== undefined);
  return isValid ? {kind: 'quarantine', quarantines} : undefined;
}

function decodeSound(
  kind: 'cleared' | 'knownSound',
  [ids]: readonly string[],
): CrashAnnouncement | undefined {
  const suspectIds = ids === undefined ? undefined : decodeIds(ids);
  return suspectIds && {kind, suspectIds};
}

/** Encodes a quarantine as `remainingMs:id,companion,…`. */
function encodeQuarantine({
  suspectId,
  companionIds,
  remainingMs,
}: Quarantine): string {
  return `${Math.round(remainingMs)}:${encodeIds([suspectId, ...companionIds])}`;
}

function decodeQuarantine(text: string): Quarantine | undefined {
  const [remaining, encodedIds] = text.split(':');
  const remainingMs = Number(remaining);
  const ids = encodedIds === undefined ? undefined : decodeIds(encodedIds);
  if (ids === undefined || !(remainingMs > 0)) return undefined;
  const [suspectId, ...companionIds] = ids;
  return {suspectId, companionIds, remainingMs};
}

function encodeIds(ids: readonly string[]): string {
  return ids.slice(0, MAX_ANNOUNCED_SUSPECTS).map(encodeURIComponent).join();
}

function decodeIds(text: string): readonly string[] | undefined {
  const ids = text.split(',').map(decodeText);
  return ids.every(id => id !== undefined && id !== '')
    ? (ids as readonly string[])
    : undefined;
}
