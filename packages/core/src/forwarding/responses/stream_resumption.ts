/** What is compared of the responses to a stream and to its resumption. */
export interface StreamHead {
  readonly status: number;
  readonly contentType: string | undefined;
}

const OK_STATUS = 200;
const NO_CONTENT_STATUS = 204;
const FIRST_REDIRECT_STATUS = 300;
const EVENT_STREAM_TYPE = 'text/event-stream';

/**
 * Returns true if the body of a response is a stream of events: it has the type
 * of one, or no type on a route whose responses are streams.
 *
 * @example
 * ```ts
 * isEventStream({status: 200, contentType: 'application/json'}, true); // false
 * ```
 */
export function isEventStream(
  head: StreamHead,
  isStreamingRoute: boolean,
): boolean {
  const {status} = head;
  const isSuccess = status >= OK_STATUS && status < FIRST_REDIRECT_STATUS;
  if (!isSuccess || status === NO_CONTENT_STATUS) return false;
  const mediaType = readMediaType(head);
  if (mediaType === '') return isStreamingRoute;
  return mediaType === EVENT_STREAM_TYPE;
}

/**
 * Returns true if a response may go on with a stream whose first response has
 * begun: it is a stream of the same type. An error or another document is not.
 *
 * @example
 * ```ts
 * canContinueStream(first, {status: 500, contentType: 'text/plain'}); // false
 * ```
 */
export function canContinueStream(
  first: StreamHead,
  next: StreamHead,
): boolean {
  if (next.status !== first.status && next.status !== OK_STATUS) return false;
  return readMediaType(first) === readMediaType(next);
}

/**
 * Returns true if an event follows the last one of a stream. Ids increase, so
 * an event that comes again, or has no id behind one that had, does not follow.
 *
 * @param lastId id of the last event; undefined if no event had one.
 * @example
 * ```ts
 * followsEvent('12', '13'); // true
 * followsEvent('12', '1'); // false
 * ```
 */
export function followsEvent(
  lastId: string | undefined,
  nextId: string | undefined,
): boolean {
  if (lastId === undefined) return true;
  if (nextId === undefined || nextId === lastId) return false;
  const [last, next] = [lastId, nextId].map(Number);
  return Number.isNaN(last) || Number.isNaN(next) || next > last;
}

function readMediaType({contentType = ''}: StreamHead): string {
  return contentType.split(';')[0].trim().toLowerCase();
}
