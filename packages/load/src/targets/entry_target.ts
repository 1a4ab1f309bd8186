import {
  HttpTransport,
  SseParser,
  isTransportError,
  type HttpRequest,
  type HttpStream,
} from '@anvilrudder/clients';
import type {RandomSource} from '../arrivals/arrivals.js';
import type {LoadOptions} from '../run/load_options.js';
import {SessionPool, type OpenSession} from '../workload/session_pool.js';
import type {
  PlannedConfirmation,
  PlannedGeneration,
} from '../workload/workload.js';
import {
  EntryResponseReader,
  readErrorOutcome,
} from './entry_response_reader.js';
import type {Outcome, RequestObserver, Target} from './target.js';

const CONNECTIONS_PER_ADDRESS = 4096;
/** Error codes after which a session cannot be continued. */
const ENDED_SESSION_CODES: readonly string[] = [
  'version_withdrawn',
  'invalid_session',
];

function createFailureOutcome(error: unknown, tokenCount: number): Outcome {
  if (!isTransportError(error)) throw error;
  const isUnsent = error.phase === 'beforeFirstByte';
  return {
    code: `client_${error.failure}`,
    execution: isUnsent ? 'notRun' : 'unknown',
    tokenCount,
  };
}

async function readBody(stream: HttpStream): Promise<string> {
  const parts: Buffer[] = [];
  for await (const chunk of stream.chunks) parts.push(chunk);
  return Buffer.concat(parts).toString('utf8');
}

/** Sends requests to entries over their HTTP API for callers, round-robin. */
export class EntryTarget implements Target {
  private roundRobinCounter = 0;

  private constructor(
    private readonly transport: HttpTransport,
    private readonly options: LoadOptions,
    private readonly sessions: SessionPool,
  ) {}

  static create(options: LoadOptions, random: RandomSource): EntryTarget {
    const transport = HttpTransport.create({
      connectionsPerAddress: CONNECTIONS_PER_ADDRESS,
    });
    return new EntryTarget(transport, options, SessionPool.create(random));
  }

  async generate(
    request: PlannedGeneration,
    observer: RequestObserver,
  ): Promise<Outcome> {
    const {apiKey, kind} = request;
    const session = request.continuesSession
      ? this.sessions.pick(apiKey, kind)
      : undefined;
    const reader = EntryResponseReader.create(request, session, observer);
    const outcome = await this.sendGeneration(request, session, reader);
    if (reader.session !== undefined) {
      if (session === undefined)
        this.sessions.add(apiKey, kind, reader.session);
    }
    if (session !== undefined && ENDED_SESSION_CODES.includes(outcome.code)) {
      this.sessions.remove(apiKey, kind, session);
    }
    return outcome;
  }

  async confirm(request: PlannedConfirmation): Promise<Outcome> {
    const {apiKey, idempotencyKey, kind} = request;
    try {
      const response = await this.transport.send({
        ...this.createRequest(`/v1/services/${kind}`, apiKey, {
          pairing: idempotencyKey,
        }),
        headers: {
          ...this.createHeaders(apiKey),
          'idempotency-key': idempotencyKey,
        },
      });
      if (response.status === 200) {
        return {code: 'ok', execution: 'ran', tokenCount: 0};
      }
      return readErrorOutcome(response.body, `status_${response.status}`, 0);
    } catch (error) {
      return createFailureOutcome(error, 0);
    }
  }

  close(): Promise<void> {
    return this.transport.close();
  }

  private async sendGeneration(
    request: PlannedGeneration,
    session: OpenSession | undefined,
    reader: EntryResponseReader,
  ): Promise<Outcome> {
    const {kind, prompt, maxTokens, apiKey} = request;
    const body = {kind, prompt, maxTokens, session: session?.token};
    try {
      const stream = await this.transport.open({
        ...this.createRequest('/v1/generate', apiKey, body),
        idleTimeoutMs: this.options.timeoutMs,
      });
      if (stream.status !== 200) {
        const text = await readBody(stream);
        return readErrorOutcome(text, `status_${stream.status}`, 0);
      }
      return await readEvents(stream, reader);
    } catch (error) {
      return createFailureOutcome(error, reader.tokenCount);
    }
  }

  private createRequest(
    path: string,
    apiKey: string,
    body: unknown,
  ): HttpRequest {
    const {targets, timeoutMs} = this.options;
    this.roundRobinCounter += 1;
    return {
      address: new URL(targets[this.roundRobinCounter % targets.length]).host,
      method: 'POST',
      path,
      headers: this.createHeaders(apiKey),
      body: JSON.stringify(body),
      timeoutMs,
    };
  }

  private createHeaders(apiKey: string): Readonly<Record<string, string>> {
    return {
      authorization: `Bearer ${apiKey}`,
      'content-type': 'application/json',
    };
  }
}

async function readEvents(
  stream: HttpStream,
  reader: EntryResponseReader,
): Promise<Outcome> {
  const parser = SseParser.create();
  for await (const chunk of stream.chunks) {
    for (const event of parser.push(chunk)) reader.handleEvent(event);
    if (reader.outcome !== undefined) {
      stream.discard();
      return reader.outcome;
    }
  }
  const {tokenCount} = reader;
  return {code: 'client_no_end', execution: 'unknown', tokenCount};
}
