import {
  HostListClient,
  HttpEngineClient,
  HttpServiceClient,
  type EngineClient,
  type ServiceClient,
} from '@anvilrudder/clients';
import type {Settings} from '../config/settings_schema.js';
import type {BackendReader} from './watch_backends.js';

/** Clients of all upstream services except the object API. */
export interface BackendClients {
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly reader: BackendReader;
  close(): Promise<void>;
}

/**
 * Creates the clients of the backend servers and of the host list.
 *
 * @example
 * ```ts
 * const clients = createBackendClients(settings);
 * ```
 */
export function createBackendClients(settings: Settings): BackendClients {
  const engines = HttpEngineClient.create();
  const services = HttpServiceClient.create();
  const hosts = HostListClient.create({baseUrl: settings.platform.hostsUrl});
  return {
    engines,
    services,
    reader: {
      readHosts: () => hosts.list(),
      readLoad: address => engines.load(address),
    },
    async close() {
      await Promise.all([engines.close(), services.close(), hosts.close()]);
    },
  };
}
