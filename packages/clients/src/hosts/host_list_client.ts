import {createBackendError} from '../errors/backend_error.js';
import {
  HttpTransport,
  type HttpTransportOptions,
} from '../http/http_transport.js';
import {decodeJsonResponse, sendToBackend} from '../http/backend_call.js';
import {readObjects, readString, type JsonObject} from '../http/json.js';

/** Role of a host. */
export type HostRole = 'engine' | 'booking' | 'rating' | 'entry';

/** An entry of the platform's host list. */
export interface HostEntry {
  readonly host: string;
  readonly role: HostRole;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}

/** Options of {@link HostListClient}. */
export interface HostListClientOptions extends HttpTransportOptions {
  /** `http://ip:port`. */
  readonly baseUrl: string;
  /** Timeout of a call in milliseconds. Default 2000. */
  readonly timeoutMs?: number;
}

const ROLES: readonly string[] = ['engine', 'booking', 'rating', 'entry'];
const DEFAULT_TIMEOUT_MS = 2000;

function readHost(body: JsonObject): HostEntry | undefined {
  const host = readString(body, 'host');
  const role = readString(body, 'role');
  const address = readString(body, 'address');
  const failureDomain = readString(body, 'failureDomain');
  const {state} = body;
  if (host === undefined || address === undefined) return undefined;
  if (role === undefined || failureDomain === undefined) return undefined;
  if (!ROLES.includes(role)) return undefined;
  if (state !== 'live' && state !== 'leaving') return undefined;
  return {host, role: role as HostRole, address, failureDomain, state};
}

function readHosts(body: JsonObject): readonly HostEntry[] | undefined {
  return readObjects(body, 'hosts')
    ?.map(readHost)
    .filter(host => host !== undefined);
}

/**
 * HTTP client of the platform's list of live and leaving hosts. The list lags
 * behind the actual state.
 */
export class HostListClient {
  private readonly address: string;
  private readonly timeoutMs: number;

  private constructor(
    private readonly transport: HttpTransport,
    options: HostListClientOptions,
  ) {
    this.address = new URL(options.baseUrl).host;
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  /**
   * @example
   * ```ts
   * const hosts = HostListClient.create({baseUrl: 'http://127.0.0.1:7100'});
   * const entries = await hosts.list();
   * ```
   */
  static create(options: HostListClientOptions): HostListClient {
    return new HostListClient(HttpTransport.create(options), options);
  }

  /**
   * Reads the list. Malformed entries and those with an unknown role or state
   * are omitted.
   *
   * @throws BackendError when no valid list was received.
   */
  async list(): Promise<readonly HostEntry[]> {
    const {address, timeoutMs} = this;
    const response = await sendToBackend(this.transport, {
      address,
      method: 'GET',
      path: '/hosts',
      timeoutMs,
    });
    if (response.status === 200) return decodeJsonResponse(response, readHosts);
    const {status} = response;
    throw createBackendError({phase: 'sent', failure: 'badAnswer', status});
  }

  /** Closes all connections; requests in progress fail. */
  close(): Promise<void> {
    return this.transport.close();
  }
}
