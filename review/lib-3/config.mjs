/** A configuration like that of the small sites. */
import {API_KEY, HOST_NAME} from './client.mjs';

const ROUTE = {
  hostname: HOST_NAME,
  priority: 1,
  public: false,
};

export function createConfig(version, overrides = {}) {
  return {
    version,
    routes: [
      {
        ...ROUTE,
        name: 'read',
        pathPrefix: '/read/',
        kind: 'safe',
        service: 'matchdesk',
        timeoutMs: 800,
        targetLatencyMs: 100,
        maxAttempts: 2,
      },
      {
        ...ROUTE,
        name: 'confirm',
        pathPrefix: '/confirm/',
        kind: 'unsafe',
        service: 'matchdesk',
        timeoutMs: 800,
        targetLatencyMs: 100,
        maxAttempts: 1,
      },
      {
        ...ROUTE,
        name: 'rationale',
        pathPrefix: '/rationale/',
        kind: 'streaming',
        streamResume: true,
        sessionAffinity: true,
        gapAimMs: 1000,
        sizes: ['m0', 'm1', 'm2'],
        service: 'quill',
        timeoutMs: 12_000,
        targetLatencyMs: 2000,
        maxAttempts: 3,
      },
    ],
    services: [
      {name: 'matchdesk', healthPath: '/healthz', maxConnections: 96},
      {
        name: 'quill',
        healthPath: '/healthz',
        maxConnections: 360,
        engine: {slots: 64, kvCapacity: 618_648, models: []},
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 5000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'hule930', apiKeys: [API_KEY]}],
    ...overrides,
  };
}
