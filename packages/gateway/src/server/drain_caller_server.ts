import {once} from 'node:events';
import {delay} from '@anvilrudder/clients';
import type {CallerServer} from './caller_server.js';

/**
 * Time that the load balancer needs to notice that this host is not ready and
 * to route callers to other hosts.
 */
const LOAD_BALANCER_NOTICE_MS = 2400;
/** Part of the grace period that is reserved for the rest of the shutdown. */
const SHUTDOWN_MARGIN_MS = 500;
/** Time to send the responses of requests that are stopped. */
const LAST_RESPONSES_MS = 100;
const IDLE_CHECK_INTERVAL_MS = 100;

/**
 * Drains the caller server: accepts connections until the load balancer has
 * stopped routing to this host, waits for requests in progress, and closes the
 * connections that are left shortly before the grace period ends. Each response
 * sent meanwhile closes its connection. Connections without a request so far are
 * closed together with the listening socket.
 *
 * @example
 * ```ts
 * await drainCallerServer(createCallerServer(context), 8000);
 * ```
 */
export async function drainCallerServer(
  {server, connections}: CallerServer,
  graceMs: number,
): Promise<void> {
  const endMs = performance.now() + graceMs - SHUTDOWN_MARGIN_MS;
  const noticeMs = Math.min(LOAD_BALANCER_NOTICE_MS, graceMs / 2);
  await delay(noticeMs);
  const closed = once(server, 'close').then(() => true);
  server.close();
  while (performance.now() < endMs) {
    connections.closeIdle();
    const isClosed = await Promise.race([
      closed,
      delay(IDLE_CHECK_INTERVAL_MS).then(() => false),
    ]);
    if (isClosed) return;
  }
  connections.resetPending();
  server.closeAllConnections();
}

/**
 * Time within a grace period for requests; the requests in progress are stopped
 * when it is over, which leaves time to send their responses.
 */
export function computeDrainMs(graceMs: number): number {
  return Math.max(0, graceMs - SHUTDOWN_MARGIN_MS - LAST_RESPONSES_MS);
}
