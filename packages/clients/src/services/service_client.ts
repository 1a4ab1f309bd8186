import {
  HttpTransport,
  type HttpTransportOptions,
} from '../http/http_transport.js';
import {sendToBackend} from '../http/json_call.js';
import {createStatusError, type RefusalTable} from '../http/refusal.js';

/** One call of a plain service. */
export interface ServiceCall {
  /** Path of the service, such as `/v1/confirmations`. */
  readonly path: string;
  /** JSON text, sent as it is. */
  readonly body: string;
  readonly idempotencyKey?: string;
  /** Time until the whole answer arrived. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  /**
   * Called in the turn of the event loop that writes the first byte; when it
   * returns false nothing is written.
   */
  readonly confirmSend?: () => boolean;
}

/** An answer of a plain service; its status is below 500. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: string;
}

/** A client of plain services; addresses are `ip:port`. */
export interface ServiceClient {
  /** Sends the call once; rejects with a BackendError without an answer. */
  call(address: string, call: ServiceCall): Promise<ServiceResponse>;
}

const REFUSALS: RefusalTable = {503: ['not_run']};
const FIRST_SERVER_ERROR_STATUS = 500;

/** A client of plain services over HTTP. */
export class HttpServiceClient implements ServiceClient {
  private constructor(private readonly transport: HttpTransport) {}

  /**
   * @example
   * ```ts
   * const services = HttpServiceClient.create();
   * const answer = await services.call('127.0.0.1:9100', {
   *   path: '/v1/confirmations',
   *   body: '{}',
   *   idempotencyKey: 'k-1',
   *   timeoutMs: 2000,
   * });
   * ```
   */
  static create(options: HttpTransportOptions = {}): HttpServiceClient {
    return new HttpServiceClient(HttpTransport.create(options));
  }

  async call(address: string, call: ServiceCall): Promise<ServiceResponse> {
    const {path, body, idempotencyKey, timeoutMs, signal, confirmSend} = call;
    const answer = await sendToBackend(this.transport, {
      address,
      method: 'POST',
      path,
      headers: {
        'content-type': 'application/json',
        ...(idempotencyKey && {'idempotency-key': idempotencyKey}),
      },
      body,
      timeoutMs,
      signal,
      confirmSend,
    });
    if (answer.status >= FIRST_SERVER_ERROR_STATUS) {
      throw createStatusError(answer.status, answer.body, REFUSALS);
    }
    const contentType = answer.headers['content-type'];
    return {status: answer.status, contentType, body: answer.body};
  }

  /** Ends the open connections. */
  close(): Promise<void> {
    return this.transport.close();
  }
}
