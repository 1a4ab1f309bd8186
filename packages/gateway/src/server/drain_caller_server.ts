import {once} from 'node:events';
import type {Server} from 'node:http';
import {setImmediate} from 'node:timers/promises';
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
/** Time without a new connection that shows that none is pending. */
const QUIET_MS = 10;
/** Callers that go on connecting must not hold up the stop. */
const MAX_ACCEPTING_MS = 200;

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
  await acceptPending(server);
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
 * Waits until no connection is left that the system has accepted and the server
 * has not: to close a listening socket resets them, with their requests.
 */
async function acceptPending(server: Server): Promise<void> {
  let acceptedCount = 0;
  const count = (): void => void (acceptedCount += 1);
  server.on('connection', count);
  const untilMs = performance.now() + MAX_ACCEPTING_MS;
  let lastCount = -1;
  while (acceptedCount !== lastCount && performance.now() < untilMs) {
    lastCount = acceptedCount;
    await delay(QUIET_MS);
    // Connections that came before the timer are accepted behind it.
    await setImmediate();
  }
  server.off('connection', count);
}

/**
 * Time within a grace period for requests; the requests in progress are stopped
 * when it is over, which leaves time to send their responses.
 */
export function computeDrainMs(graceMs: number): number {
  return Math.max(0, graceMs - SHUTDOWN_MARGIN_MS - LAST_RESPONSES_MS);
}
