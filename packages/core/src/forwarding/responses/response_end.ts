/**
 * What marks the end of a response body: its length, its last chunk, or only the
 * end of the connection, which also ends a body that breaks off.
 */
export type BodyFraming = 'length' | 'chunks' | 'connection';

/**
 * Whether a response is whole. `complete`: its framing shows that it is, or its
 * connection was closed in order where the response may end; `broken`: any other.
 */
export type ResponseVerdict = 'complete' | 'broken';

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
  /**
   * It ended by a reset, a timeout, before the end that its framing marks, or
   * without proof that its connection ended in order.
   */
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
 * judgeResponseEnd({framing: 'connection', hasFailed: false}); // 'complete'
 * ```
 */
export function judgeResponseEnd({
  framing,
  hasFailed,
  events,
}: ResponseEvidence): ResponseVerdict {
  if (hasFailed || events?.hasOutstanding) return 'broken';
  // A server that stops behind its head closes a stream in the same way.
  const isEmpty = events?.hasWhole === false;
  return framing === 'connection' && isEmpty ? 'broken' : 'complete';
}

/**
 * Chooses how the response to a caller ends, so that a broken one can't be taken
 * for a whole one.
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
  if (verdict === 'complete') return 'finish';
  return framing === 'connection' ? 'reset' : 'cut';
}
