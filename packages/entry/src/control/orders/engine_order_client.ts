import type {EngineClient} from '@anvilrudder/clients';
import type {BackendDirectory} from '../../backends/backend_directory.js';
import type {EngineOrderClient} from './rollout_runner.js';

/**
 * Sends orders through the engine client to the hosts of the host list.
 *
 * @example
 * ```ts
 * const orders = createEngineOrderClient(clients.engines, directory);
 * ```
 */
export function createEngineOrderClient(
  client: EngineClient,
  directory: BackendDirectory,
): EngineOrderClient {
  return {
    async send(engine, order) {
      const address = directory.findAddress(engine);
      if (address === undefined) return 'failed';
      const result = await client.order(address, order);
      return result.status;
    },
    async listLoaded(engine) {
      const address = directory.findAddress(engine);
      if (address === undefined) throw new Error(`${engine} is not listed`);
      const load = await client.load(address);
      return load.loaded;
    },
  };
}
