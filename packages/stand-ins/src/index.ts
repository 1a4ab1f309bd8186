export * from './booking/booking_stand_in.js';
export * from './engine/engine_stand_in.js';
export * from './engine/engine_types.js';
export {
  PREFIX_BLOCK_CHARACTERS,
  createPrefixHashes,
} from './engine/prefix_cache.js';
export * from './engine/tokens.js';
export * from './hosts/host_list_stand_in.js';
export type {ListenOptions, StandIn} from './http/http_server.js';
export * from './objects/object_stand_in.js';
export * from './rating/rating_stand_in.js';
export * from './weights/weight_stand_in.js';
