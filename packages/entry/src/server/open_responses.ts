import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/** Requests of a connection whose responses are due. */
interface ConnectionState {
  pendingCount: number;
  /** The request that was opened last. */
  lastRequest: IncomingMessage | undefined;
  /** What arrives on it can't be read as requests any more. */
  isUnreadable: boolean;
}

/** The responses that are due on each connection; callers may pipeline requests. */
export class OpenResponses {
  private readonly states = new WeakMap<Duplex, ConnectionState>();

  private constructor() {}

  static create(): OpenResponses {
    return new OpenResponses();
  }

  /**
   * Registers a request.
   *
   * @returns false if its connection ends before a response could be sent, so that
   *     it must not be processed.
   * @example
   * ```ts
   * if (openResponses.open(request, response)) void serve(request, response);
   * ```
   */
  open(request: IncomingMessage, response: ServerResponse): boolean {
    const {socket} = request;
    const state = this.findOrCreate(socket);
    if (state.isUnreadable) return false;
    state.pendingCount += 1;
    state.lastRequest = request;
    response.once('close', () => {
      state.pendingCount -= 1;
      if (state.pendingCount === 0 && state.isUnreadable) socket.end();
    });
    return true;
  }

  /** True once {@link endBehindResponses} has ended a connection. */
  isUnreadable(socket: Duplex): boolean {
    return this.states.get(socket)?.isUnreadable ?? false;
  }

  /**
   * Ends a connection whose bytes can't be read on behind the responses to the
   * requests before them, and processes no more of its requests.
   *
   * @returns false if no response is due, but to the request that they belong to.
   */
  endBehindResponses(socket: Duplex): boolean {
    const state = this.states.get(socket);
    if (state === undefined) return false;
    const isInBody = state.lastRequest?.complete === false;
    const ownCount = isInBody ? 1 : 0;
    if (state.pendingCount <= ownCount) return false;
    state.isUnreadable = true;
    return true;
  }

  private findOrCreate(socket: Duplex): ConnectionState {
    const known = this.states.get(socket);
    if (known !== undefined) return known;
    const state = {
      pendingCount: 0,
      lastRequest: undefined,
      isUnreadable: false,
    };
    this.states.set(socket, state);
    return state;
  }
}
