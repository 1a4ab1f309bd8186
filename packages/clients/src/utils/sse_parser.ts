/** One server-sent event. */
export interface ServerSentEvent {
  readonly name: string;
  readonly data: string;
}

const DEFAULT_NAME = 'message';
const MAX_EVENT_CHARACTERS = 1024 * 1024;
const EVENT_END = /\r?\n\r?\n/;

function parseBlock(block: string): ServerSentEvent | undefined {
  let name = DEFAULT_NAME;
  const data: string[] = [];
  for (const line of block.split(/\r?\n/)) {
    const colon = line.indexOf(':');
    if (colon <= 0) continue;
    const value = line.slice(colon + 1).replace(/^ /, '');
    const field = line.slice(0, colon);
    if (field === 'event') name = value;
    if (field === 'data') data.push(value);
  }
  return data.length === 0 ? undefined : {name, data: data.join('\n')};
}

/**
 * Incremental parser of server-sent events. Chunks may be split anywhere.
 *
 * @example
 * ```ts
 * const parser = SseParser.create();
 * parser.push(Buffer.from('event: a\ndata: 1\n\n')); // [{name: 'a', data: '1'}]
 * ```
 */
export class SseParser {
  private readonly decoder = new TextDecoder();
  private buffer = '';

  private constructor() {}

  static create(): SseParser {
    return new SseParser();
  }

  /**
   * Returns the events completed by this chunk.
   *
   * @throws RangeError when an event exceeds 1 Mi characters.
   */
  push(chunk: Uint8Array): readonly ServerSentEvent[] {
    this.buffer += this.decoder.decode(chunk, {stream: true});
    const events: ServerSentEvent[] = [];
    let end = EVENT_END.exec(this.buffer);
    while (end !== null) {
      const event = parseBlock(this.buffer.slice(0, end.index));
      if (event !== undefined) events.push(event);
      this.buffer = this.buffer.slice(end.index + end[0].length);
      end = EVENT_END.exec(this.buffer);
    }
    if (this.buffer.length > MAX_EVENT_CHARACTERS) {
      throw new RangeError('server-sent event exceeds 1 Mi characters');
    }
    return events;
  }
}
