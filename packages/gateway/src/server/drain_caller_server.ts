import {once} from 'node:events';
import type {Server} from 'node:http';
import {delay} from '@anvilrudder/clients';

/**
 * Time in which the load balancer notices that this host is not ready, and
 * sends its callers elsewhere.
 */
const BALANCER_NOTICE_MS = 2400;
/** Kept back of the grace time for the end of the process. */
const END_MARGIN_MS = 500;
const IDLE_CHECK_MS = 100;

/**
 * Stops serving callers: goes on accepting until the balancer has turned them
 * away, lets requests in progress end, and cuts those that the grace time
 * does not cover. Each answer meanwhile closes its connection.
 *
 * @example
 * ```ts
 * await stopCallers(server, 8000);
 * ```
 */
export async function stopCallers(
  server: Server,
  graceMs: number,
): Promise<void> {
  const endMs = performance.now() + graceMs - END_MARGIN_MS;
  const noticeMs = Math.min(BALANCER_NOTICE_MS, graceMs / 2);
  await delay(noticeMs);
  const closed = once(server, 'close').then(() => true);
  server.close();
  while (performance.now() < endMs) {
    server.closeIdleConnections();
    const isClosed = await Promise.race([
      closed,
      delay(IDLE_CHECK_MS).then(() => false),
    ]);
    if (isClosed) return;
  }
  server.closeAllConnections();
}
