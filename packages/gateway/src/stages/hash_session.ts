import {hashToUint32} from '@anvilrudder/core';

/**
 * Shortens the session of a request for the log. The result is the same on all
 * hosts, and short whatever the caller sends.
 *
 * @returns undefined for a request outside a session.
 * @example
 * ```ts
 * logger.info('request_settled', {sessionHash: hashSession(request.session)});
 * ```
 */
export function hashSession(session: string | undefined): string | undefined {
  return session === undefined ? undefined : hashToUint32(session).toString(16);
}
