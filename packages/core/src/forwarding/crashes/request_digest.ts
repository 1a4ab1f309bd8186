import {createHash} from 'node:crypto';

/** What makes two requests repeats of each other. */
export interface RequestIdentity {
  readonly method: string;
  readonly hostName: string;
  /** Path and query. */
  readonly path: string;
  /** Name of the organisation; undefined on a public route. */
  readonly organisation: string | undefined;
  /** Ids of the parts of the prompt; empty for a request without one. */
  readonly partIds: readonly string[];
  readonly body: Uint8Array | undefined;
}

const DIGEST_LENGTH = 22;

/**
 * Computes a digest that all hosts compute alike for repeats of one request. Ids,
 * deadlines and keys differ between repeats and are not part of it.
 *
 * @returns 22 characters; the body cannot be read from them.
 * @example
 * ```ts
 * digestRequest({
 *   method: 'POST',
 *   hostName: 'api.example',
 *   path: '/read/7',
 *   organisation: 'org-1',
 *   partIds: [],
 *   body: undefined,
 * });
 * ```
 */
export function digestRequest({
  method,
  hostName,
  path,
  organisation,
  partIds,
  body,
}: RequestIdentity): string {
  const fields = [method, hostName, path, organisation ?? null, ...partIds];
  const hash = createHash('sha256').update(JSON.stringify(fields));
  if (body !== undefined) hash.update('\n').update(body);
  return hash.digest('base64url').slice(0, DIGEST_LENGTH);
}
