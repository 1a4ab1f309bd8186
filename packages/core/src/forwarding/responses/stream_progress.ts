import {
  judgeResponseEnd,
  type BodyFraming,
  type ResponseVerdict,
} from './response_end.js';
import {followsEvent} from './stream_resumption.js';

/** How the part of a stream that came from one server ended. */
export interface StreamPartEnd {
  readonly framing: BodyFraming;
  readonly hasFailed: boolean;
  /** Bytes behind the last event that arrived whole. */
  readonly incompleteBytes: number;
}

/**
 * Place of a caller in a stream that one or more servers send, and what is known
 * of the rest of it. Only events that arrive whole count.
 */
export class StreamProgress {
  private eventId: string | undefined;
  private hasWholeEvent = false;
  private isEventOutstanding = false;

  private constructor(lastEventId: string | undefined) {
    this.eventId = lastEventId;
  }

  /**
   * @param lastEventId the last event that the caller has had already.
   * @example
   * ```ts
   * const progress = StreamProgress.create(undefined);
   * progress.beginPart();
   * progress.recordEvents('2');
   * progress.judgeEnd({framing: 'chunks', hasFailed: true, incompleteBytes: 7});
   * progress.beginPart();
   * // An event has begun that did not come again.
   * progress.judgeEnd({framing: 'chunks', hasFailed: false, incompleteBytes: 0}); // 'broken'
   * ```
   */
  static create(lastEventId: string | undefined): StreamProgress {
    return new StreamProgress(lastEventId);
  }

  /** Id of the last event; undefined if no event had one. */
  get lastEventId(): string | undefined {
    return this.eventId;
  }

  /** Begins the part of a further server. */
  beginPart(): void {
    this.hasWholeEvent = false;
  }

  /** True if a part that begins with an event goes on where the stream stopped. */
  isNext(firstId: string | undefined): boolean {
    return this.hasWholeEvent || followsEvent(this.eventId, firstId);
  }

  /** Records that events arrived whole. */
  recordEvents(lastId: string | undefined): void {
    this.hasWholeEvent = true;
    this.isEventOutstanding = false;
    this.eventId = lastId ?? this.eventId;
  }

  /** Judges the stream by the end of a part and by all parts before it. */
  judgeEnd({
    framing,
    hasFailed,
    incompleteBytes,
  }: StreamPartEnd): ResponseVerdict {
    if (incompleteBytes > 0) this.isEventOutstanding = true;
    return judgeResponseEnd({
      framing,
      hasFailed,
      events: {
        hasWhole: this.hasWholeEvent,
        hasOutstanding: this.isEventOutstanding,
      },
    });
  }
}
