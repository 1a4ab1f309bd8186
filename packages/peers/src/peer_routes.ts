import type {ConnectRouter} from '@connectrpc/connect';
import {
  PeerService,
  type ExchangeRequest,
  type ExchangeResponse,
  type FetchContentRequest,
  type FetchContentResponse,
} from './gen/anvilrudder/v1/peer_pb.js';

/** Answers the calls of peers. */
export interface PeerHandler {
  exchange(request: ExchangeRequest): Promise<ExchangeResponse>;
  fetchContent(request: FetchContentRequest): Promise<FetchContentResponse>;
}

/**
 * Creates the routes that an entry mounts on its peer port.
 *
 * @example
 * ```ts
 * connectNodeAdapter({routes: createPeerRoutes(handler)});
 * ```
 */
export function createPeerRoutes(
  handler: PeerHandler,
): (router: ConnectRouter) => void {
  return router => {
    router.service(PeerService, {
      exchange: request => handler.exchange(request),
      fetchContent: request => handler.fetchContent(request),
    });
  };
}
