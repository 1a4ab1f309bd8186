const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY = Buffer.alloc(0);
/** Maximum size of one event. */
const MAX_EVENT_BYTES = 1024 * 1024;
const MIN_BUFFER_BYTES = 4096;

/** Complete events, the id of the first one and the last id among them. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly firstId: string | undefined;
  readonly lastId: string | undefined;
}

const ID_LINE = /^id: ?(.*)$/;
const LINE_BREAK = /\r?\n/;
const NO_EVENTS: CompleteEvents = {
  bytes: EMPTY,
  firstId: undefined,
  lastId: undefined,
};

/**
 * Splits a stream of server-sent events after complete events. Only complete
 * events are relayed, because a server that resumes the stream sends an
 * interrupted event again.
 *
 * @example
 * ```ts
 * const splitter = EventSplitter.create();
 * splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2')).lastId; // '1'
 * splitter.incompleteEventBytes; // 5
 * ```
 */
export class EventSplitter {
  /** Begins with the incomplete event; the rest of it is spare. */
  private buffer = EMPTY;
  private incompleteBytes = 0;

  private constructor() {}

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** Bytes received of the event that is incomplete. */
  get incompleteEventBytes(): number {
    return this.incompleteBytes;
  }

  /** True once the last event is too large to wait for its end. */
  get isEventTooLarge(): boolean {
    return this.incompleteBytes > MAX_EVENT_BYTES;
  }

  /**
   * Adds a chunk and returns the events that it completes. Takes time in
   * proportion to the chunk, however large the incomplete event is.
   */
  push(chunk: Buffer): CompleteEvents {
    const begin = this.incompleteBytes;
    if (begin === 0 && findLastEventEnd(chunk, 0) === chunk.length)
      return describeEvents(chunk);
    this.append(chunk);
    const buffered = this.buffer.subarray(0, this.incompleteBytes);
    const end = findLastEventEnd(buffered, begin);
    if (end === 0) return NO_EVENTS;
    const bytes = Buffer.from(buffered.subarray(0, end));
    this.keepFrom(end);
    return describeEvents(bytes);
  }

  private append(chunk: Buffer): void {
    const neededBytes = this.incompleteBytes + chunk.length;
    if (neededBytes > this.buffer.length) {
      const grown = Buffer.allocUnsafe(
        Math.max(MIN_BUFFER_BYTES, 2 * neededBytes),
      );
      this.buffer.copy(grown, 0, 0, this.incompleteBytes);
      this.buffer = grown;
    }
    chunk.copy(this.buffer, this.incompleteBytes);
    this.incompleteBytes = neededBytes;
  }

  private keepFrom(begin: number): void {
    const rest = this.buffer.subarray(begin, this.incompleteBytes);
    this.incompleteBytes = rest.length;
    this.buffer = rest.length === 0 ? EMPTY : Buffer.from(rest);
  }
}

/** Returns the offset after the last blank line whose end is not before `begin`, or 0. */
function findLastEventEnd(bytes: Buffer, begin: number): number {
  for (let index = bytes.length - 1; index >= Math.max(1, begin); index -= 1) {
    if (bytes[index] !== LINE_FEED) continue;
    const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return index + 1;
  }
  return 0;
}

function describeEvents(bytes: Buffer): CompleteEvents {
  const lines = bytes.toString('latin1').split(LINE_BREAK);
  const firstEnd = lines.indexOf('');
  return {
    bytes,
    firstId: findId(lines.slice(0, firstEnd)),
    lastId: findId(lines.reverse()),
  };
}

function findId(lines: readonly string[]): string | undefined {
  for (const line of lines) {
    const match = ID_LINE.exec(line);
    if (match !== null) return match[1];
  }
  return undefined;
}
