import {once} from 'node:events';
import type {Server} from 'node:http';
import {delay} from '@anvilrudder/clients';

/**
 * Time that the load balancer needs to notice that this host is not ready and
 * to route callers to other hosts.
 */
const LOAD_BALANCER_NOTICE_MS = 2400;
/** Part of the grace period that is reserved for the rest of the shutdown. */
const SHUTDOWN_MARGIN_MS = 500;
const IDLE_CHECK_INTERVAL_MS = 100;

/**
 * Drains the caller server: accepts connections until the load balancer has
 * stopped routing to this host, waits for requests in progress, and closes the
 * connections that are left shortly before the grace period ends. Each response
 * sent meanwhile closes its connection.
 *
 * @example
 * ```ts
 * await drainCallerServer(server, 8000);
 * ```
 */
export async function drainCallerServer(
  server: Server,
  graceMs: number,
): Promise<void> {
  const endMs = performance.now() + graceMs - SHUTDOWN_MARGIN_MS;
  const noticeMs = Math.min(LOAD_BALANCER_NOTICE_MS, graceMs / 2);
  await delay(noticeMs);
  const closed = once(server, 'close').then(() => true);
  server.close();
  while (performance.now() < endMs) {
    server.closeIdleConnections();
    const isClosed = await Promise.race([
      closed,
      delay(IDLE_CHECK_INTERVAL_MS).then(() => false),
    ]);
    if (isClosed) return;
  }
  server.closeAllConnections();
}
