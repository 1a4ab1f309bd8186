const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const NOTHING = Buffer.alloc(0);

/** Whole events and the id of the last one. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
}

const ID_LINE = /^id: ?(.*)$/;

/**
 * Cuts the bytes of an event stream behind whole events, so that nothing is
 * passed on that another server would send again.
 *
 * @example
 * ```ts
 * const splitter = EventSplitter.create();
 * splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2')).lastId; // '1'
 * splitter.hasRest; // true
 * ```
 */
export class EventSplitter {
  private rest: Buffer = NOTHING;

  private constructor() {}

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /** True while an event has begun and not ended. */
  get hasRest(): boolean {
    return this.rest.length > 0;
  }

  /** Returns the events that the chunk completes. */
  push(chunk: Buffer): WholeEvents {
    const all =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const end = findLastEventEnd(all);
    const bytes = all.subarray(0, end);
    this.rest = all.subarray(end);
    return {bytes, lastId: readLastId(bytes)};
  }
}

/** Offset behind the last blank line. */
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
