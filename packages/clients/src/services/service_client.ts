import {
  HttpTransport,
  type HttpTransportOptions,
} from '../http/http_transport.js';
import {sendToBackend} from '../http/backend_call.js';
import {
  createStatusError,
  type RefusalCodesByStatus,
} from '../http/status_error.js';

/** A call to a service that is not a model engine. */
export interface ServiceCall {
  /** Path of the service, such as `/v1/confirmations`. */
  readonly path: string;
  /** JSON text, sent unchanged. */
  readonly body: string;
  readonly idempotencyKey?: string;
  /** Time limit for the complete response, in milliseconds. */
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  /**
   * Called synchronously right before the first byte is written. If it returns
   * false, nothing is written.
   */
  readonly confirmSend?: () => boolean;
}

/** Response of a service; its status is below 500. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: string;
}

/** Client of services other than model engines. Addresses are `ip:port`. */
export interface ServiceClient {
  /**
   * Sends the call once, without retries.
   *
   * @throws BackendError when no complete response was received or its status
   *   is 500 or above.
   */
  call(address: string, call: ServiceCall): Promise<ServiceResponse>;
}

const REFUSAL_CODES: RefusalCodesByStatus = {503: ['not_run']};
const FIRST_SERVER_ERROR_STATUS = 500;

/** HTTP implementation of {@link ServiceClient}. */
export class HttpServiceClient implements ServiceClient {
  private constructor(private readonly transport: HttpTransport) {}

  /**
   * @example
   * ```ts
   * const services = HttpServiceClient.create();
   * const response = await services.call('127.0.0.1:9100', {
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
    const response = await sendToBackend(this.transport, {
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
    if (response.status >= FIRST_SERVER_ERROR_STATUS) {
      throw createStatusError(response.status, response.body, REFUSAL_CODES);
    }
    const contentType = response.headers['content-type'];
    return {status: response.status, contentType, body: response.body};
  }

  /** Closes all connections; requests in progress fail. */
  close(): Promise<void> {
    return this.transport.close();
  }
}
