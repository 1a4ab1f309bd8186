import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {GenerationDemand} from '@anvilrudder/core';

/** A caller's request, decoded once; the gateway never reads its headers. */
export interface ForwardedRequest {
  /** Undefined when the caller gave none. */
  readonly id: string | undefined;
  readonly method: string;
  /** With its query. */
  readonly path: string;
  readonly hostName: string;
  /** Headers that go on to the backend server as they came. */
  readonly headers: IncomingHttpHeaders;
  readonly apiKey: string | undefined;
  /** Time that the caller waits, counted from its send. */
  readonly deadlineMs: number | undefined;
  readonly generation: GenerationDemand | undefined;
  /** Requests with the same value belong together. */
  readonly session: string | undefined;
  /** The event after which a caller resumes a stream. */
  readonly lastEventId: string | undefined;
}

/** What the router adds to a request that it sends to a server. */
export interface OutboundRequest {
  readonly request: ForwardedRequest;
  /** The server that is meant; any other one refuses. */
  readonly serverId: string;
  readonly remainingMs: number;
  readonly organisation: string | undefined;
  /** The model that the router chose. */
  readonly model: string | undefined;
  /** 0 is the most urgent, 9 the least. */
  readonly urgency: number | undefined;
  readonly lastEventId: string | undefined;
}

/** What the head of a server's answer says besides its status. */
export interface ResponseHead {
  readonly requestId: string | undefined;
  /** The server says that it did not run the request. */
  readonly isNotRun: boolean;
  /** The head bears the server's signature. */
  readonly isSigned: boolean;
  /** The body has an encoding, which no caller asks for. */
  readonly isEncoded: boolean;
  /** The model's opinion of its answer, from 0 to 100. */
  readonly confidence: number | undefined;
}

/** Translates between the headers in use and the types of the product. */
export interface CallerCodec {
  decodeRequest(message: IncomingMessage): ForwardedRequest;
  encodeOutboundRequest(outboundRequest: OutboundRequest): IncomingHttpHeaders;
  decodeResponseHead(headers: IncomingHttpHeaders): ResponseHead;
  /** Headers of an answer of the router's own. */
  encodeErrorHeaders(
    requestId: string | undefined,
  ): Readonly<Record<string, string>>;
}
