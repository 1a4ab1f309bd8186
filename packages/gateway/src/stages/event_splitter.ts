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

const ID_FIELD = 'id:';
const ID_LINE = '\nid:';
const ID_VALUE = /^ ?([^\r]*)\r?$/;
const BLANK_LINES = ['\n\n', '\n\r\n'];
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
  return {
    bytes,
    firstId: findId(bytes.subarray(0, findFirstEventEnd(bytes)), 'first'),
    lastId: findId(bytes, 'last'),
  };
}

/** Returns the offset of the first blank line. */
function findFirstEventEnd(bytes: Buffer): number {
  const begin = bytes[0] === CARRIAGE_RETURN ? 1 : 0;
  if (bytes[begin] === LINE_FEED) return 0;
  const ends = BLANK_LINES.map(text => bytes.indexOf(text));
  return Math.min(...ends.map(end => (end < 0 ? bytes.length : end + 1)));
}

function findId(bytes: Buffer, which: 'first' | 'last'): string | undefined {
  const begin = which === 'first' ? findFirstId(bytes) : findLastId(bytes);
  if (begin === undefined) return undefined;
  const lineEnd = bytes.indexOf(LINE_FEED, begin);
  const line = bytes.toString(
    'latin1',
    begin,
    lineEnd < 0 ? undefined : lineEnd,
  );
  return ID_VALUE.exec(line)?.[1];
}

function findFirstId(bytes: Buffer): number | undefined {
  if (startsWithId(bytes)) return ID_FIELD.length;
  const index = bytes.indexOf(ID_LINE);
  return index < 0 ? undefined : index + ID_LINE.length;
}

function findLastId(bytes: Buffer): number | undefined {
  const index = bytes.lastIndexOf(ID_LINE);
  if (index >= 0) return index + ID_LINE.length;
  return startsWithId(bytes) ? ID_FIELD.length : undefined;
}

function startsWithId(bytes: Buffer): boolean {
  return bytes.toString('latin1', 0, ID_FIELD.length) === ID_FIELD;
}
