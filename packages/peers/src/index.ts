export * from './gen/anvilrudder/v1/control_pb.js';
export * from './gen/anvilrudder/v1/ledger_pb.js';
export * from './ledger/ledger_rpc.js';
export * from './content_delta.js';
export * from './head_codec.js';
export * from './peer_agent.js';
export * from './peer_client.js';
export * from './peer_routes.js';
export * from './report_codec.js';
export * from './traffic_counter.js';
export {
  ContentDeltaSchema,
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  FetchContentRequestSchema,
  FetchContentResponseSchema,
  PeerService,
} from './gen/anvilrudder/v1/peer_pb.js';
export type {
  ExchangeRequest,
  ExchangeResponse,
  FetchContentRequest,
  FetchContentResponse,
} from './gen/anvilrudder/v1/peer_pb.js';
export * from './share/share_rpc.js';
export {ShareService} from './gen/anvilrudder/v1/share_pb.js';
