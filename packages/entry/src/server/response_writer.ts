import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {
  ERROR_DEFINITIONS,
  createErrorBody,
  type RouterError,
} from '@anvilrudder/core';
import {toRetryAfterSeconds} from '@anvilrudder/observability';

/**
 * Writes the response to one request: JSON, text, an error or a stream of
 * server-sent events.
 */
export interface ResponseWriter {
  /** True once the first event has been written. */
  readonly isStreaming: boolean;
  writeJson(httpStatus: number, body: unknown): void;
  writeRawJson(httpStatus: number, text: string): void;
  writeText(httpStatus: number, text: string): void;
  /** Writes the error as an event if the stream has begun, else as JSON. */
  writeError(error: RouterError): void;
  /** Resolves once the socket accepts more data, which is usually immediate. */
  writeEvent(event: string, data: unknown): Promise<void>;
  endStream(): void;
}

/** Options of {@link createResponseWriter}. */
export interface ResponseWriterOptions {
  readonly requestId: string;
  /** Returns true during a stop: responses then close their connection. */
  readonly isClosing: () => boolean;
}

/**
 * Creates the writer of one response.
 *
 * @example
 * ```ts
 * const writer = createResponseWriter(response, {requestId, isClosing});
 * await writer.writeEvent('token', {index: 0, text: 'Hi'});
 * ```
 */
export function createResponseWriter(
  response: ServerResponse,
  options: ResponseWriterOptions,
): ResponseWriter {
  let isStreaming = false;

  function writeHead(
    httpStatus: number,
    headers: Readonly<Record<string, string>>,
  ): void {
    if (options.isClosing()) response.setHeader('Connection', 'close');
    response.writeHead(httpStatus, {
      'X-Request-Id': options.requestId,
      ...headers,
    });
  }

  function startStream(): void {
    if (isStreaming) return;
    isStreaming = true;
    writeHead(200, {
      'Content-Type': 'text/event-stream',
      'Cache-Control': 'no-store',
    });
  }

  const writer: ResponseWriter = {
    get isStreaming() {
      return isStreaming;
    },
    writeJson(httpStatus, body) {
      writer.writeRawJson(httpStatus, JSON.stringify(body));
    },
    writeRawJson(httpStatus, text) {
      if (response.headersSent) return;
      writeHead(httpStatus, {
        'Content-Type': 'application/json',
        'Content-Length': String(Buffer.byteLength(text)),
      });
      response.end(text);
    },
    writeText(httpStatus, text) {
      writeHead(httpStatus, {'Content-Type': 'text/plain; version=0.0.4'});
      response.end(text);
    },
    writeError(error) {
      const body = createErrorBody(error, options.requestId);
      if (isStreaming) {
        response.write(formatEvent('error', body));
        response.end();
        return;
      }
      if (error.retryAfterMs !== undefined) {
        const seconds = toRetryAfterSeconds(error.retryAfterMs);
        response.setHeader('Retry-After', String(seconds));
      }
      if (error.code === 'body_too_large') {
        response.setHeader('Connection', 'close');
      }
      writer.writeJson(ERROR_DEFINITIONS[error.code].httpStatus, body);
    },
    async writeEvent(event, data) {
      startStream();
      if (response.destroyed) return;
      if (!response.write(formatEvent(event, data))) {
        await waitForDrain(response);
      }
    },
    endStream() {
      response.end();
    },
  };
  return writer;
}

// Resolves when the socket's buffer has been flushed or the socket is closed.
async function waitForDrain(response: ServerResponse): Promise<void> {
  const settled = new AbortController();
  const {signal} = settled;
  try {
    await Promise.race([
      once(response, 'drain', {signal}),
      once(response, 'close', {signal}),
    ]);
  } finally {
    settled.abort();
  }
}

function formatEvent(event: string, data: unknown): string {
  return `event: ${event}\ndata: ${JSON.stringify(data)}\n\n`;
}
