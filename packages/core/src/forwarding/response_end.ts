/**
 * What marks the end of a response body: its length, its last chunk, or only the
 * end of the connection, which also ends a body that breaks off.
 */
export type BodyFraming = 'length' | 'chunks' | 'connection';

/**
 * Whether a response is whole. `complete`: its framing shows that it is;
 * `unknown`: the connection was closed in order where the response may end, and
 * nothing else marks its end; `broken`: it is not whole.
 */
export type ResponseVerdict = 'complete' | 'unknown' | 'broken';

/**
 * How the response to a caller ends. `finish`: in order; `cut`: the connection is
 * closed before the end that the framing marks; `reset`: the connection is reset,
 * as a close would look like the end.
 */
export type CallerEnd = 'finish' | 'cut' | 'reset';

/** What is known of the events of a stream when the response of a server ends. */
export interface EventEvidence {
  /** An event of this server has arrived whole. */
  readonly hasWhole: boolean;
  /** A server has begun an event that has not arrived whole since. */
  readonly hasOutstanding: boolean;
}

/** What is known of a response when it ends. */
export interface ResponseEvidence {
  readonly framing: BodyFraming;
  /** It ended by a reset, a timeout or before the end that its framing marks. */
  readonly hasFailed: boolean;
  /** Undefined if the response is no stream of events. */
  readonly events?: EventEvidence;
}

/**
 * Decides whether a response is whole. All responses of servers and hosts are
 * judged here, whatever path they take to the caller.
 *
 * @example
 * ```ts
 * judgeResponseEnd({framing: 'connection', hasFailed: false}); // 'unknown'
 * ```
 */
export function judgeResponseEnd({
  framing,
  hasFailed,
  events,
}: ResponseEvidence): ResponseVerdict {
  if (hasFailed || events?.hasOutstanding) return 'broken';
  if (framing !== 'connection') return 'complete';
  // A server that stops behind its head closes a stream in the same way.
  return events?.hasWhole === false ? 'broken' : 'unknown';
}

const CALLER_END_BY_VERDICT: Readonly<
  Record<
    ResponseVerdict,
    {readonly framed: CallerEnd; readonly open: CallerEnd}
  >
> = {
  complete: {framed: 'finish', open: 'finish'},
  unknown: {framed: 'cut', open: 'finish'},
  broken: {framed: 'cut', open: 'reset'},
};

/**
 * Chooses how the response to a caller ends, so that the caller learns no more
 * and no less than the verdict.
 *
 * @param framing of the response to the caller.
 * @example
 * ```ts
 * chooseCallerEnd('broken', 'connection'); // 'reset'
 * ```
 */
export function chooseCallerEnd(
  verdict: ResponseVerdict,
  framing: BodyFraming,
): CallerEnd {
  const ends = CALLER_END_BY_VERDICT[verdict];
  return framing === 'connection' ? ends.open : ends.framed;
}
