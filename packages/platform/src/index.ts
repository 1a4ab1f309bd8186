export * from './errors/backend_error.js';
export * from './errors/object_store_error.js';
export * from './errors/transport_error.js';
export type {ExchangeOptions, HttpStream} from './http/http_exchange.js';
export * from './http/http_transport.js';
export * from './objects/http_object_store.js';
