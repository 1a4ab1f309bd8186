export * from './config/settings.js';
export * from './control/follow_store.js';
export {
  HostRegistry,
  readHostEntry,
  type HostEntry,
} from './control/host_registry.js';
export * from './control/load_exchange.js';
export {RolloutKeeper, type RemoteSample} from './control/rollout_keeper.js';
export type {
  DeclarationCodec,
  RolloutDeclaration,
} from './control/rollout_state_writer.js';
export * from './control/store_news.js';
export * from './control/watch_source.js';
export * from './ports.js';
export * from './start_gateway.js';
export {copyEndToEndHeaders} from './stages/response_headers.js';
