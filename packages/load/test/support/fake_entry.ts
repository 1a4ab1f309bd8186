import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expectedTokens} from '@anvilrudder/stand-ins';

/** The body of a generation request to an entry. */
export interface GenerationBody {
  readonly kind: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly session?: string;
}

/** Handlers with which a test responds to requests to the fake entry. */
export interface FakeEntryHandlers {
  /** `count` is the number of generation requests so far, this one included. */
  generate?(
    body: GenerationBody,
    response: ServerResponse,
    count: number,
  ): void;
  confirm?(key: string, response: ServerResponse): void;
}

/** A running HTTP server that stands in for an entry. */
export interface FakeEntry {
  readonly url: string;
  /** Bodies of the generation requests received so far. */
  readonly bodies: readonly GenerationBody[];
  stop(): void;
}

/** Formats one server-sent event. */
export function formatSseEvent(name: string, data: unknown): string {
  return `event: ${name}\ndata: ${JSON.stringify(data)}\n\n`;
}

/** The request id in the responses of {@link formatResponse}. */
export const ENTRY_REQUEST_ID = 'q-1';

/**
 * Formats the event stream of a complete response. A test can change the tokens
 * with `transformTokens` and fields of the `done` event with `doneOverrides`.
 */
export function formatResponse(
  body: GenerationBody,
  version: string,
  transformTokens: (texts: readonly string[]) => readonly string[] = texts =>
    texts,
  doneOverrides: Readonly<Record<string, unknown>> = {},
): string {
  const {prompt, maxTokens} = body;
  const requestId = ENTRY_REQUEST_ID;
  const source = {requestId, prompt, model: 'quick', version};
  const texts = transformTokens(expectedTokens(source, maxTokens));
  const start = formatSseEvent('start', {requestId, model: 'quick', version});
  const tokens = texts.map((text, index) =>
    formatSseEvent('token', {index, text}),
  );
  const end = formatSseEvent('done', {
    requestId,
    engineRequestId: requestId,
    model: 'quick',
    version,
    tokenCount: texts.length,
    ...doneOverrides,
  });
  return [start, ...tokens, end].join('');
}

/** Starts a fake entry that responds with the given handlers. */
export async function startFakeEntry(
  handlers: FakeEntryHandlers,
): Promise<FakeEntry> {
  const bodies: GenerationBody[] = [];
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      if (request.url !== '/v1/generate') {
        const key = String(request.headers['idempotency-key']);
        handlers.confirm?.(key, response);
        return;
      }
      const body = JSON.parse(
        Buffer.concat(chunks).toString(),
      ) as GenerationBody;
      bodies.push(body);
      handlers.generate?.(body, response, bodies.length);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const stop = () => {
    server.close();
    server.closeAllConnections();
  };
  return {url: `http://127.0.0.1:${port}`, bodies, stop};
}
