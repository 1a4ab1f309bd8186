import type {Socket} from 'node:net';
import {inspectEnd, type ConnectionEnd} from './connection_end.js';
import {PROCESS_TURNS, type TurnReader} from './read_turns.js';

const RESET_CODE = 'ECONNRESET';
const REPORTED_RESET_CODE = 'ERR_CONNECTION_RESET';
/** Bytes that are parsed without a check of the time that they take. */
const MAX_READ_BYTES = 4096;

/**
 * A connection of undici that is read in turns with the others, whose reading can be
 * paused, and that tells how its peer has ended it. The pause of undici itself is not
 * used, because undici throws in an event handler if a connection ends while its
 * parser is paused.
 */
export class WatchedSocket implements TurnReader {
  private isPaused = false;
  private isHeld = false;
  /** undici has closed the connection while it was held. */
  private isCloseDue = false;
  private hasEnded = false;
  private hasFailed = false;

  private constructor(
    private readonly socket: Socket,
    private readonly onActive: (watched: WatchedSocket) => void,
  ) {}

  /**
   * Must be called before undici gets the socket.
   *
   * @param onActive called right before undici reads from the socket, or learns
   *     of its end.
   * @example
   * ```ts
   * const watched = WatchedSocket.watch(socket, () => undefined);
   * watched.pause();
   * ```
   */
  static watch(
    socket: Socket,
    onActive: (watched: WatchedSocket) => void,
  ): WatchedSocket {
    const watched = new WatchedSocket(socket, onActive);
    watched.interceptReads();
    watched.interceptErrors();
    watched.interceptDestroy();
    socket.once('end', () => {
      watched.hasEnded = true;
      onActive(watched);
    });
    return watched;
  }

  /** How the peer has ended the connection; `unproven` before its end. */
  get end(): ConnectionEnd {
    if (this.hasFailed) return 'reset';
    return this.hasEnded ? inspectEnd(this.socket) : 'unproven';
  }

  /** True while an end of the connection would be seen, and there was none. */
  get isOpen(): boolean {
    const isEnded = this.hasEnded || this.hasFailed || this.socket.destroyed;
    // An end is reported behind all bytes that have been read.
    return !isEnded && !this.isPaused && this.socket.readableLength === 0;
  }

  /** Bytes that have not been handed to the operating system. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  /** Lets undici read no more; a buffer fills up, then the peer waits. */
  pause(): void {
    this.isPaused = true;
  }

  /** Lets undici read again what has arrived meanwhile. */
  resume(): void {
    if (!this.isPaused) return;
    this.isPaused = false;
    // undici may be in the middle of a read.
    process.nextTick(() => this.readOn());
  }

  /** Keeps the connection when undici closes it. */
  hold(): void {
    this.isHeld = true;
  }

  /** Closes the connection, if undici has. */
  release(): void {
    this.isHeld = false;
    if (this.isCloseDue) this.socket.destroy();
  }

  /** Lets undici read what has arrived. */
  readOn(): void {
    this.socket.emit('readable');
  }

  // undici takes all bytes with read(), until it returns null.
  private interceptReads(): void {
    const read = this.socket.read.bind(this.socket);
    this.socket.read = (): unknown => {
      PROCESS_TURNS.finish();
      if (this.isPaused) return null;
      const {readableLength} = this.socket;
      // Asks to be told of the next bytes.
      if (readableLength === 0) return read();
      if (!PROCESS_TURNS.tryBegin(this)) return null;
      this.onActive(this);
      return read(Math.min(readableLength, MAX_READ_BYTES));
    };
  }

  // undici takes an error with the code of a reset for the end of a response if
  // the connection is not kept.
  private interceptErrors(): void {
    this.socket.once('error', (error: NodeJS.ErrnoException) => {
      if (error.code === RESET_CODE) error.code = REPORTED_RESET_CODE;
      this.hasFailed = true;
      this.onActive(this);
    });
  }

  // undici closes a connection right behind the end of its peer.
  private interceptDestroy(): void {
    const destroy = this.socket.destroy.bind(this.socket);
    this.socket.destroy = (error?: Error): Socket => {
      const isOfSystem = error !== undefined && 'syscall' in error;
      if (!this.isHeld || isOfSystem) return destroy(error);
      this.isCloseDue = true;
      return this.socket;
    };
  }
}
