const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY = Buffer.alloc(0);
/** Maximum size of one event. */
const MAX_EVENT_BYTES = 1024 * 1024;

/** Complete events and the last event id among them. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
}

const ID_LINE = /^id: ?(.*)$/;

/**
 * Splits a stream of server-sent events after complete events. Only complete
 * events are relayed, because a server that resumes the stream sends an
 * interrupted event again.
 *
 * @example
 * ```ts
 * const splitter = EventSplitter.create();
 * splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2')).lastId; // '1'
 * splitter.hasIncompleteEvent; // true
 * ```
 */
export class EventSplitter {
  private incomplete: Buffer = EMPTY;

  private constructor() {}

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** True while the last event is incomplete. */
  get hasIncompleteEvent(): boolean {
    return this.incomplete.length > 0;
  }

  /** True once the last event is too large to wait for its end. */
  get isEventTooLarge(): boolean {
    return this.incomplete.length > MAX_EVENT_BYTES;
  }

  /** Adds a chunk and returns the events that it completes. */
  push(chunk: Buffer): CompleteEvents {
    const buffered =
      this.incomplete.length === 0
        ? chunk
        : Buffer.concat([this.incomplete, chunk]);
    const end = findLastEventEnd(buffered);
    const bytes = buffered.subarray(0, end);
    this.incomplete = buffered.subarray(end);
    return {bytes, lastId: readLastId(bytes)};
  }
}

/** Returns the offset after the last blank line, or 0. */
function findLastEventEnd(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index -= 1) {
    if (bytes[index] !== LINE_FEED) continue;
    const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return index + 1;
  }
  return 0;
}

function readLastId(bytes: Buffer): string | undefined {
  if (bytes.length === 0) return undefined;
  const lines = bytes.toString('latin1').split('\n');
  for (let index = lines.length - 1; index >= 0; index -= 1) {
    const match = ID_LINE.exec(lines[index].replace(/\r$/, ''));
    if (match !== null) return match[1];
  }
  return undefined;
}
