import {randomUUID} from 'node:crypto';
import {
  cutConnection,
  delayResponse,
  readJson,
  sendJson,
  startHttpServer,
  type HttpExchange,
  type ListenOptions,
  type StandIn,
} from '../http/http_server.js';

/** Faults to inject into the booking service. */
export interface BookingFaults {
  /** Delay between the execution and the response. */
  readonly delayMs: number;
  /** The next n calls are disconnected before they are executed. */
  readonly dropBeforeRun: number;
  /** The next n calls are executed and disconnected without a response. */
  readonly dropAfterRun: number;
  /** The next n calls are refused with 503 `not_run` and not executed. */
  readonly refuse: number;
}

/** Settings of the booking service stand-in. */
export interface BookingStandInOptions extends ListenOptions {
  /** Delay between the execution and the response. Default 0. */
  readonly delayMs?: number;
}

/** A running booking service stand-in. */
export interface BookingStandIn extends StandIn {
  /** Changes the given faults and leaves the others as they are. */
  setFaults(faults: Partial<BookingFaults>): void;
  /**
   * Number of executions by idempotency key; calls without a key are counted
   * under an empty key.
   */
  executions(): Readonly<Record<string, number>>;
}

type CountedFault = 'dropBeforeRun' | 'dropAfterRun' | 'refuse';

const MISSING_KEY = '';

/**
 * State and request handlers of one booking service. It counts executions by
 * idempotency key but doesn't deduplicate them.
 */
class BookingService {
  private faults: BookingFaults;
  private readonly executionsByKey = new Map<string, number>();

  constructor(delayMs: number) {
    this.faults = {delayMs, dropBeforeRun: 0, dropAfterRun: 0, refuse: 0};
  }

  setFaults(faults: Partial<BookingFaults>): void {
    this.faults = {...this.faults, ...faults};
  }

  executions(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.executionsByKey);
  }

  async confirm({request, response}: HttpExchange): Promise<void> {
    const key = String(request.headers['idempotency-key'] ?? MISSING_KEY);
    await readJson(request);
    if (this.consumeFault('refuse')) {
      sendJson(response, 503, {code: 'not_run'});
      return;
    }
    if (this.consumeFault('dropBeforeRun')) {
      cutConnection(response);
      return;
    }
    const executions = (this.executionsByKey.get(key) ?? 0) + 1;
    this.executionsByKey.set(key, executions);
    if (this.consumeFault('dropAfterRun')) {
      cutConnection(response);
      return;
    }
    await delayResponse(response, this.faults.delayMs);
    sendJson(response, 200, {confirmationId: randomUUID(), executions});
  }

  private consumeFault(name: CountedFault): boolean {
    if (this.faults[name] <= 0) return false;
    this.faults = {...this.faults, [name]: this.faults[name] - 1};
    return true;
  }
}

/**
 * Starts an HTTP stand-in for a booking service.
 *
 * @example
 * ```ts
 * const booking = await startBookingStandIn();
 * booking.setFaults({dropAfterRun: 1});
 * booking.executions(); // {'key-1': 1}
 * ```
 */
export async function startBookingStandIn(
  options: BookingStandInOptions = {},
): Promise<BookingStandIn> {
  const service = new BookingService(options.delayMs ?? 0);
  const server = await startHttpServer(options, [
    {
      method: 'POST',
      path: '/v1/confirmations',
      handle: e => service.confirm(e),
    },
    {
      method: 'GET',
      path: '/admin/executions',
      handle: e => sendJson(e.response, 200, {byKey: service.executions()}),
    },
    {
      method: 'POST',
      path: '/admin/faults',
      handle: async e => {
        service.setFaults(await readJson<Partial<BookingFaults>>(e.request));
        sendJson(e.response, 200, {});
      },
    },
  ]);
  return {
    ...server,
    setFaults: faults => service.setFaults(faults),
    executions: () => service.executions(),
  };
}
