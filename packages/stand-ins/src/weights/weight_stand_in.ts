import {
  delayResponse,
  sendJson,
  startHttpServer,
  type HttpExchange,
  type ListenOptions,
  type StandIn,
} from '../http/http_server.js';

/** Settings of the weight store stand-in. */
export interface WeightStandInOptions extends ListenOptions {
  /** Size of the weights of each model version. Default 1 MiB. */
  readonly sizeBytes?: number;
  /** Rate of one transfer. Default 16 MiB per second. */
  readonly bytesPerS?: number;
  /** Maximum number of concurrent transfers; more get 429. Default 2. */
  readonly concurrentTransfers?: number;
}

const MIB = 1024 * 1024;
const CHUNK_BYTES = 64 * 1024;
const MS_PER_S = 1000;

/** State and request handlers of one weight store. */
class WeightService {
  private activeTransfers = 0;
  private readonly sizeBytes: number;
  private readonly bytesPerS: number;
  private readonly concurrentTransfers: number;

  constructor(options: WeightStandInOptions) {
    this.sizeBytes = options.sizeBytes ?? MIB;
    this.bytesPerS = options.bytesPerS ?? 16 * MIB;
    this.concurrentTransfers = options.concurrentTransfers ?? 2;
  }

  async sendWeights({response}: HttpExchange): Promise<void> {
    if (this.activeTransfers >= this.concurrentTransfers) {
      const retryAfterMs = Math.ceil(
        (this.sizeBytes / this.bytesPerS) * MS_PER_S,
      );
      sendJson(response, 429, {retryAfterMs});
      return;
    }
    this.activeTransfers += 1;
    response.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': this.sizeBytes,
    });
    try {
      await this.writeChunks(response);
    } finally {
      this.activeTransfers -= 1;
    }
  }

  private async writeChunks(response: HttpExchange['response']): Promise<void> {
    let sentBytes = 0;
    while (sentBytes < this.sizeBytes && !response.destroyed) {
      const chunkBytes = Math.min(CHUNK_BYTES, this.sizeBytes - sentBytes);
      response.write(Buffer.alloc(chunkBytes));
      sentBytes += chunkBytes;
      const delayMs = (chunkBytes / this.bytesPerS) * MS_PER_S;
      await delayResponse(response, delayMs);
    }
    response.end();
  }
}

/**
 * Starts an HTTP stand-in for the rate-limited store of model weights.
 *
 * @example
 * ```ts
 * const weights = await startWeightStandIn({sizeBytes: 1024});
 * ```
 */
export function startWeightStandIn(
  options: WeightStandInOptions = {},
): Promise<StandIn> {
  const service = new WeightService(options);
  return startHttpServer(options, [
    {method: 'GET', path: '/weights/', handle: e => service.sendWeights(e)},
  ]);
}
