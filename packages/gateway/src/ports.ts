import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {GenerationDemand} from '@anvilrudder/core';

/**
 * A caller's request, decoded once by the codec. The gateway relies on these
 * fields and does not interpret the headers.
 */
export interface ForwardedRequest {
  /** Request id from the caller; undefined if it sent none. */
  readonly id: string | undefined;
  readonly method: string;
  /** Path including the query. */
  readonly path: string;
  readonly hostName: string;
  /** Headers that are forwarded unchanged to the backend server. */
  readonly headers: IncomingHttpHeaders;
  readonly apiKey: string | undefined;
  /** Time that the caller waits for the response after it sent the request. */
  readonly deadlineMs: number | undefined;
  readonly generation: GenerationDemand | undefined;
  /** Identifies the session; undefined for requests outside a session. */
  readonly session: string | undefined;
  /** Id of the last event that a caller resuming a stream has received. */
  readonly lastEventId: string | undefined;
}

/** A request to a backend server, with the values that the router adds. */
export interface OutboundRequest {
  readonly request: ForwardedRequest;
  /** The intended server; any other server rejects the request. */
  readonly serverId: string;
  readonly remainingMs: number;
  readonly organisation: string | undefined;
  /** Model chosen by the router. */
  readonly model: string | undefined;
  /** 0 is the most urgent, 9 the least. */
  readonly urgency: number | undefined;
  readonly lastEventId: string | undefined;
}

/** What a response says about the limit of requests to its server. */
export type LimitNotice =
  | {readonly kind: 'none'}
  | {readonly kind: 'limit'; readonly requestsPerS: number}
  | {readonly kind: 'unreadable'; readonly text: string};

/** Information from the headers of a backend server's response. */
export interface ResponseHead {
  readonly requestId: string | undefined;
  /** The server states that it did not run the request. */
  readonly isNotRun: boolean;
  /** The head carries the server's signature. */
  readonly isSigned: boolean;
  /** The body has a content encoding, although no caller requests one. */
  readonly isEncoded: boolean;
  /** Confidence of the model in its answer, from 0 to 100. */
  readonly confidence: number | undefined;
  /** The server says that it is leaving. */
  readonly isServerLeaving: boolean;
  /** Time for which the server wants no more requests from this host. */
  readonly retryAfterMs: number | undefined;
  /** The server ends if it must reject more than a few requests a second. */
  readonly isBrittle: boolean;
  /** Requests a second that the server accepts from all hosts together. */
  readonly limit: LimitNotice;
}

/** Translates between the HTTP headers and the types of the gateway. */
export interface CallerCodec {
  decodeRequest(message: IncomingMessage): ForwardedRequest;
  encodeOutboundRequest(outboundRequest: OutboundRequest): IncomingHttpHeaders;
  /** Returns the headers of a request that another host is to send. */
  encodeRelayedRequest(
    callerHeaders: IncomingHttpHeaders,
    remainingMs: number,
  ): IncomingHttpHeaders;
  decodeResponseHead(headers: IncomingHttpHeaders): ResponseHead;
  /** Returns the headers of an error response that the router creates. */
  encodeErrorHeaders(
    requestId: string | undefined,
  ): Readonly<Record<string, string>>;
}
