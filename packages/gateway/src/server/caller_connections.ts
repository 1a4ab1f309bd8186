import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {STILL_MS, type MemoryHold} from '@anvilrudder/core';
import type {HostResources} from './host_resources.js';

/** Requests and responses of a connection. */
interface ConnectionState {
  pendingCount: number;
  /** The request that was opened last. */
  lastMessage: IncomingMessage | undefined;
  /** The connection ends behind the pending responses. */
  isClosing: boolean;
  /** What arrives on it can't be read as requests any more. */
  isUnreadable: boolean;
  /** Bytes that had been received when the last response was sent. */
  answeredBytes: number;
  /** Time since which no request has been complete. */
  idleSinceMs: number;
  /** Bytes that the caller had taken when this was last checked. */
  takenBytes: number;
  /** Time at which the caller took bytes, or had taken all, when last checked. */
  takenMs: number;
  readonly hold: MemoryHold | undefined;
}

/** Memory of a connection and of the objects that serve it. */
const CONNECTION_BYTES = 24 * 1024;
/** Memory of a byte of a head: each of its lines is two strings. */
const HEAD_COST_FACTOR = 8;
const CHECK_INTERVAL_MS = 500;
/** Callers connect when they have a request, which arrives within this time. */
const FIRST_REQUEST_MS = 200;

/**
 * Connections of callers and the responses that are due on them; callers may
 * pipeline requests. A response is due until all of its bytes have been sent.
 */
export class CallerConnections {
  private readonly states = new Map<Socket, ConnectionState>();

  private constructor(
    server: Server,
    private readonly resources: HostResources | undefined,
  ) {
    server.on('connection', (socket: Socket) => this.add(socket));
    if (resources !== undefined) this.watch(server, resources);
    // The server's own method closes connections with unsent bytes of a response,
    // also when it is called by `close`.
    server.closeIdleConnections = () => this.closeIdle();
  }

  /**
   * Watches the connections of a server.
   *
   * @param resources bound the connections and count their memory, if given.
   */
  static create(server: Server, resources?: HostResources): CallerConnections {
    return new CallerConnections(server, resources);
  }

  /**
   * Registers a request.
   *
   * @param isLast the connection is to be closed after the response.
   * @returns false if the connection ends before a response could be sent, so
   *     that the request must not be processed.
   */
  open(
    message: IncomingMessage,
    response: ServerResponse,
    isLast: () => boolean,
  ): boolean {
    const {socket} = message;
    const state = this.states.get(socket);
    if (state === undefined || !socket.writable || state.isClosing)
      return false;
    state.isClosing = isLast();
    state.pendingCount += 1;
    state.lastMessage = message;
    state.hold?.become('running');
    response.once('finish', () => {
      state.pendingCount -= 1;
      if (state.pendingCount > 0) return;
      state.lastMessage = undefined;
      state.answeredBytes = socket.bytesRead;
      state.idleSinceMs = performance.now();
      state.hold?.become('idle', () => socket.destroy());
      if (state.isClosing || isLast()) socket.end();
    });
    return true;
  }

  /** True once {@link endBehindResponses} has ended a connection. */
  isUnreadable(socket: Socket): boolean {
    return this.states.get(socket)?.isUnreadable ?? false;
  }

  /**
   * Ends a connection whose bytes can't be read on behind the responses to the
   * requests before them, and processes no more of its requests.
   *
   * @returns false if no response is due, but to the request that they belong to.
   */
  endBehindResponses(socket: Socket): boolean {
    const state = this.states.get(socket);
    if (state === undefined) return false;
    const {pendingCount, lastMessage} = state;
    const isInBody = lastMessage?.complete === false;
    if (pendingCount === (isInBody ? 1 : 0)) return false;
    state.isClosing = true;
    state.isUnreadable = true;
    return true;
  }

  /**
   * Closes the connections on which no response is due and nothing has been
   * received since the last one. Their callers send the next request elsewhere.
   * A connection that has just been accepted is left time for its first request.
   */
  closeIdle(): void {
    const newSinceMs = performance.now() - FIRST_REQUEST_MS;
    for (const [socket, state] of this.states) {
      const {pendingCount, answeredBytes, idleSinceMs} = state;
      const isNew = answeredBytes === 0 && idleSinceMs > newSinceMs;
      if (pendingCount === 0 && socket.bytesRead === answeredBytes && !isNew)
        socket.end();
    }
  }

  /**
   * Resets the connections on which a response is due: after a close in order,
   * one that the end of its connection marks would look complete.
   */
  resetPending(): void {
    for (const [socket, {pendingCount}] of this.states)
      if (pendingCount > 0) socket.resetAndDestroy();
  }

  private add(socket: Socket): void {
    const {resources} = this;
    if (resources !== undefined && !this.hasRoom(resources)) {
      resources.recordClosed('connection_refused');
      socket.destroy();
      return;
    }
    const nowMs = performance.now();
    const hold = resources?.memory.open('idle', () => socket.destroy());
    this.states.set(socket, {
      pendingCount: 0,
      lastMessage: undefined,
      isClosing: false,
      isUnreadable: false,
      answeredBytes: 0,
      idleSinceMs: nowMs,
      takenBytes: 0,
      takenMs: nowMs,
      hold,
    });
    socket.once('close', () => {
      this.states.delete(socket);
      hold?.close();
    });
    hold?.resize(CONNECTION_BYTES);
  }

  /** True if a connection may be added, after another was ended where needed. */
  private hasRoom(resources: HostResources): boolean {
    if (!resources.memory.makeRoom(CONNECTION_BYTES)) return false;
    if (this.states.size < resources.maxConnections) return true;
    const longestIdle = this.findLongestIdle();
    if (longestIdle === undefined) return false;
    resources.recordClosed('too_many_connections');
    longestIdle.destroy();
    this.states.delete(longestIdle);
    return true;
  }

  // A caller that has just connected needs some time to send its request.
  private findLongestIdle(): Socket | undefined {
    let longestIdle: Socket | undefined;
    let sinceMs = performance.now() - STILL_MS;
    for (const [socket, {pendingCount, idleSinceMs}] of this.states) {
      if (pendingCount > 0 || idleSinceMs >= sinceMs) continue;
      longestIdle = socket;
      sinceMs = idleSinceMs;
    }
    return longestIdle;
  }

  private watch(server: Server, resources: HostResources): void {
    const timer = setInterval(() => {
      for (const [socket, state] of this.states) {
        countHead(socket, state);
        if (!hasStoppedReading(socket, state, resources.unreadTimeoutMs))
          continue;
        resources.recordClosed('unread_response');
        socket.resetAndDestroy();
      }
    }, CHECK_INTERVAL_MS);
    server.once('close', () => clearInterval(timer));
  }
}

/** Counts the memory of a head that is not complete. */
function countHead(socket: Socket, state: ConnectionState): void {
  if (state.pendingCount > 0) return;
  const headBytes = socket.bytesRead - state.answeredBytes;
  state.hold?.resize(CONNECTION_BYTES + HEAD_COST_FACTOR * headBytes);
}

/** True if a caller has taken nothing of what is due to it for some time. */
function hasStoppedReading(
  socket: Socket,
  state: ConnectionState,
  timeoutMs: number,
): boolean {
  const nowMs = performance.now();
  const takenBytes = socket.bytesWritten - socket.writableLength;
  if (socket.writableLength === 0 || takenBytes !== state.takenBytes) {
    state.takenBytes = takenBytes;
    state.takenMs = nowMs;
    return false;
  }
  return nowMs - state.takenMs >= timeoutMs;
}
