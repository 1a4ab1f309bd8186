import {Code, ConnectError, type ConnectRouter} from '@connectrpc/connect';
import {
  PeerService,
  type ExchangeRequest,
  type ExchangeResponse,
  type FetchContentRequest,
  type FetchContentResponse,
} from './gen/anvilrudder/v1/peer_pb.js';

/** Handles the calls of peers. */
export interface PeerHandler {
  exchange(request: ExchangeRequest): Promise<ExchangeResponse>;
  /** Returns undefined if this entry does not have the text. */
  fetchContent(request: FetchContentRequest): FetchContentResponse | undefined;
}

/** Registers services on a router of connect-node. */
export type PeerRoutes = (router: ConnectRouter) => void;

/**
 * Creates the routes that an entry serves on its peer port.
 *
 * @example
 * ```ts
 * connectNodeAdapter({routes: createPeerRoutes(handler)});
 * ```
 */
export function createPeerRoutes(handler: PeerHandler): PeerRoutes {
  return router => {
    router.service(PeerService, {
      exchange: request => handler.exchange(request),
      fetchContent: request => {
        const response = handler.fetchContent(request);
        if (response !== undefined) return response;
        throw new ConnectError('The text is not kept here.', Code.NotFound);
      },
    });
  };
}
