export * from './order.js';
export * from './order_protocol.js';
