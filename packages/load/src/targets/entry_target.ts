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
import {EntryAnswer, readErrorOutcome} from './entry_answer.js';
import type {Outcome, RequestObserver, Target} from './target.js';

const CONNECTIONS_PER_ADDRESS = 4096;
const ENDED_SESSION_CODES: readonly string[] = [
  'version_withdrawn',
  'invalid_session',
];

function createTransportFailure(error: unknown, tokenCount: number): Outcome {
  if (!isTransportError(error)) throw error;
  const isUnsent = error.phase === 'beforeFirstByte';
  return {
    code: `client_${error.failure}`,
    execution: isUnsent ? 'notRun' : 'unknown',
    tokenCount,
  };
}

async function readText(stream: HttpStream): Promise<string> {
  const parts: Buffer[] = [];
  for await (const chunk of stream.chunks) parts.push(chunk);
  return Buffer.concat(parts).toString('utf8');
}

/** Entries called as callers do, in turn. */
export class EntryTarget implements Target {
  private turn = 0;

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
    const session = request.wantsSession
      ? this.sessions.pick(apiKey, kind)
      : undefined;
    const answer = EntryAnswer.create(request, session, observer);
    const outcome = await this.runGeneration(request, session, answer);
    if (answer.session !== undefined) {
      if (session === undefined)
        this.sessions.add(apiKey, kind, answer.session);
    }
    if (session !== undefined && ENDED_SESSION_CODES.includes(outcome.code)) {
      this.sessions.remove(apiKey, kind, session);
    }
    return outcome;
  }

  async confirm(request: PlannedConfirmation): Promise<Outcome> {
    const {apiKey, idempotencyKey, kind} = request;
    try {
      const answer = await this.transport.send({
        ...this.createRequest(`/v1/services/${kind}`, apiKey, {
          pairing: idempotencyKey,
        }),
        headers: {
          ...this.createHeaders(apiKey),
          'idempotency-key': idempotencyKey,
        },
      });
      if (answer.status === 200) {
        return {code: 'ok', execution: 'ran', tokenCount: 0};
      }
      return readErrorOutcome(answer.body, `status_${answer.status}`, 0);
    } catch (error) {
      return createTransportFailure(error, 0);
    }
  }

  close(): Promise<void> {
    return this.transport.close();
  }

  private async runGeneration(
    request: PlannedGeneration,
    session: OpenSession | undefined,
    answer: EntryAnswer,
  ): Promise<Outcome> {
    const {kind, prompt, maxTokens, apiKey} = request;
    const body = {kind, prompt, maxTokens, session: session?.token};
    try {
      const stream = await this.transport.open({
        ...this.createRequest('/v1/generate', apiKey, body),
        idleTimeoutMs: this.options.timeoutMs,
      });
      if (stream.status !== 200) {
        const text = await readText(stream);
        return readErrorOutcome(text, `status_${stream.status}`, 0);
      }
      return await readEvents(stream, answer);
    } catch (error) {
      return createTransportFailure(error, answer.tokenCount);
    }
  }

  private createRequest(
    path: string,
    apiKey: string,
    body: unknown,
  ): HttpRequest {
    const {targets, timeoutMs} = this.options;
    this.turn += 1;
    return {
      address: new URL(targets[this.turn % targets.length]).host,
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
  answer: EntryAnswer,
): Promise<Outcome> {
  const parser = SseParser.create();
  for await (const chunk of stream.chunks) {
    for (const event of parser.push(chunk)) answer.accept(event);
    if (answer.outcome !== undefined) {
      stream.discard();
      return answer.outcome;
    }
  }
  const {tokenCount} = answer;
  return {code: 'client_no_end', execution: 'unknown', tokenCount};
}
