import type {ServicePolicy} from './service_call.js';

/** The policies that the product uses. */
export const PRODUCT_POLICY: ServicePolicy = {
  name: 'product',
  serverPolicy: 'prefix-bounded',
  admissionPolicy: 'predictive',
  retryPolicy: 'budget',
  cancelsAbandonedRequests: true,
  usesFallbackVersions: true,
  ejectsServers: true,
};

/** No limits on queues or retries, and no reaction to failed servers. */
export const NAIVE_POLICY: ServicePolicy = {
  name: 'unbounded, random, unlimited retries',
  serverPolicy: 'random',
  admissionPolicy: 'unbounded',
  retryPolicy: 'unlimited',
  cancelsAbandonedRequests: false,
  usesFallbackVersions: false,
  ejectsServers: false,
};

/** A bounded queue, and the less loaded of two random servers. */
export const BOUNDED_QUEUE_POLICY: ServicePolicy = {
  name: 'bounded queue, power of two',
  serverPolicy: 'power-of-two',
  admissionPolicy: 'bounded-queue',
  retryPolicy: 'budget',
  cancelsAbandonedRequests: true,
  usesFallbackVersions: false,
  ejectsServers: true,
};

export const SERVICE_POLICIES: readonly ServicePolicy[] = [
  NAIVE_POLICY,
  BOUNDED_QUEUE_POLICY,
  PRODUCT_POLICY,
];
