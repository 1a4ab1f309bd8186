import type {ServiceWay} from './service_call.js';

/** The product's own policies. */
export const PRODUCT_WAY: ServiceWay = {
  name: 'product',
  servers: 'prefix-bounded',
  admission: 'predictive',
  retries: 'budget',
  cancels: true,
  fallsBack: true,
  ejects: true,
};

/** No limits, no memory of failures. */
export const NAIVE_WAY: ServiceWay = {
  name: 'unbounded, random, unlimited retries',
  servers: 'random',
  admission: 'unbounded',
  retries: 'unlimited',
  cancels: false,
  fallsBack: false,
  ejects: false,
};

/** A bounded queue and the better of two servers. */
export const BOUNDED_WAY: ServiceWay = {
  name: 'bounded queue, power of two',
  servers: 'power-of-two',
  admission: 'bounded-queue',
  retries: 'budget',
  cancels: true,
  fallsBack: false,
  ejects: true,
};

export const SERVICE_WAYS: readonly ServiceWay[] = [
  NAIVE_WAY,
  BOUNDED_WAY,
  PRODUCT_WAY,
];
