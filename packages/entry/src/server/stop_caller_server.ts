import type {Server} from 'node:http';
import type {EntryContext} from '../entry_context.js';

/**
 * Shuts down the server for callers gracefully. `/readyz` fails first, so that
 * the load balancer sends no new requests; then connections are closed as they
 * become idle. Only requests that outlast the straggler timeout are cut off.
 *
 * `context.isAccepting` must already return false when this is called.
 *
 * @example
 * ```ts
 * await stopCallerServer(context, server);
 * ```
 */
export async function stopCallerServer(
  context: EntryContext,
  server: Server,
): Promise<void> {
  const {readyGraceMs, stragglerTimeoutMs} = context.settings.stop;
  context.logger.info('stop_began', {openRequests: context.openRequests.count});
  await delay(readyGraceMs);
  const closed = new Promise<void>(resolve => server.close(() => resolve()));
  server.closeIdleConnections();
  const isDrained = await Promise.race([
    context.openRequests.waitUntilEmpty().then(() => true),
    delay(stragglerTimeoutMs).then(() => false),
  ]);
  if (!isDrained) {
    context.logger.warn('stragglers_cut', {
      openRequests: context.openRequests.count,
    });
  }
  // Node.js does not count a connection that never carried a request as idle;
  // left open, it would delay the stop.
  server.closeAllConnections();
  await closed;
}

function delay(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs).unref());
}
