import {decodeText} from '../hosts/announcement_fields.js';

/** What a host tells the others about the brittle servers of a service. */
export type BrittleAnnouncement =
  | {readonly kind: 'brittle' | 'ended'; readonly service: string}
  | {
      /** A server was full and has rejected a request. */
      readonly kind: 'rejected';
      readonly service: string;
      readonly serverId: string;
      /** Requests at once that it may have from now on. */
      readonly reducedTo: number;
    };

/**
 * Encodes an announcement as fields without spaces.
 *
 * @example
 * ```ts
 * encodeBrittleAnnouncement({kind: 'ended', service: 'app'}); // ['ended', 'app']
 * ```
 */
export function encodeBrittleAnnouncement(
  announcement: BrittleAnnouncement,
): readonly string[] {
  const {kind, service} = announcement;
  const fields = [kind, encodeURIComponent(service)];
  if (announcement.kind !== 'rejected') return fields;
  const {serverId, reducedTo} = announcement;
  return [...fields, encodeURIComponent(serverId), String(reducedTo)];
}

/** Decodes an announcement; undefined if it is malformed. */
export function decodeBrittleAnnouncement([
  kind,
  encodedService,
  encodedId,
  reduced,
]: readonly string[]): BrittleAnnouncement | undefined {
  const service = decodeText(encodedService);
  if (!service) return undefined;
  if (kind === 'brittle' || kind === 'ended') return {kind, service};
  const serverId = decodeText(encodedId);
  const reducedTo = Number(reduced);
  const isValid = kind === 'rejected' && serverId && reducedTo >= 1;
  return isValid ? {kind, service, serverId, reducedTo} : undefined;
}
