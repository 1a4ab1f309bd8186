import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {expectedTokens} from '@anvilrudder/stand-ins';

/** The body of a generation as an entry receives it. */
export interface EntryBody {
  readonly kind: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly session?: string;
}

/** Answers of a small entry, written by a test. */
export interface FakeEntryHandlers {
  generate?(body: EntryBody, response: ServerResponse, count: number): void;
  confirm?(key: string, response: ServerResponse): void;
}

/** A running fake entry. */
export interface FakeEntry {
  readonly url: string;
  readonly bodies: readonly EntryBody[];
  stop(): void;
}

/** Formats one server-sent event. */
export function formatEvent(name: string, data: unknown): string {
  return `event: ${name}\ndata: ${JSON.stringify(data)}\n\n`;
}

/** The id that the fake entry gives each request. */
export const ENTRY_REQUEST_ID = 'q-1';

/** Formats a whole answer, its tokens and end as changed by a test. */
export function formatAnswer(
  body: EntryBody,
  version: string,
  change: (texts: readonly string[]) => readonly string[] = texts => texts,
  done: Readonly<Record<string, unknown>> = {},
): string {
  const {prompt, maxTokens} = body;
  const requestId = ENTRY_REQUEST_ID;
  const source = {requestId, prompt, model: 'quick', version};
  const texts = change(expectedTokens(source, maxTokens));
  const start = formatEvent('start', {requestId, model: 'quick', version});
  const tokens = texts.map((text, index) =>
    formatEvent('token', {index, text}),
  );
  const end = formatEvent('done', {
    requestId,
    engineRequestId: requestId,
    model: 'quick',
    version,
    tokenCount: texts.length,
    ...done,
  });
  return [start, ...tokens, end].join('');
}

/** Starts an entry that answers as the handlers say. */
export async function startFakeEntry(
  handlers: FakeEntryHandlers,
): Promise<FakeEntry> {
  const bodies: EntryBody[] = [];
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      if (request.url !== '/v1/generate') {
        const key = String(request.headers['idempotency-key']);
        handlers.confirm?.(key, response);
        return;
      }
      const body = JSON.parse(Buffer.concat(chunks).toString()) as EntryBody;
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
