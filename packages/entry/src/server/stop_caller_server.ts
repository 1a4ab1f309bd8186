import type {Server} from 'node:http';
import type {EntryContext} from '../entry_context.js';

/**
 * Stops serving callers without cutting a request: `/readyz` fails first so
 * that the balancer sends nothing new, then connections close as they fall
 * idle, and only requests beyond the straggler timeout are cut.
 *
 * The caller has made `context.isAccepting` false before.
 *
 * @example
 * ```ts
 * await stopCallers(context, server);
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
  // A connection that never carried a request does not count as idle and
  // would hold up the stop.
  server.closeAllConnections();
  await closed;
}

function delay(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs).unref());
}
