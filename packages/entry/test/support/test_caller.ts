import {expectedTokens} from '@anvilrudder/stand-ins';
import {request} from 'undici';
import {API_KEYS} from './test_deployment.js';

/** The answer to one generation as the caller received it. */
export interface ReceivedAnswer {
  readonly requestId: string;
  readonly httpStatus: number;
  /** `ok`, the error code, or `cut` when the stream has no final event. */
  readonly code: string;
  readonly execution: string | undefined;
  readonly retryAfterMs: number | undefined;
  readonly version: string;
  readonly session: string | undefined;
  readonly tokens: readonly string[];
  /** True when the tokens are exactly those expected for this request. */
  readonly isComplete: boolean;
}

/** A generation request and the organisation that sends it. */
export interface GenerateInput {
  readonly organisation?: keyof typeof API_KEYS;
  readonly kind?: string;
  readonly prompt?: string;
  readonly maxTokens?: number;
  readonly session?: string;
  readonly deadlineMs?: number;
  readonly model?: string;
  readonly version?: string;
}

interface EventData {
  readonly requestId?: string;
  readonly text?: string;
  readonly engineRequestId?: string;
  readonly model?: string;
  readonly version?: string;
  readonly session?: string;
  readonly error?: {
    readonly code: string;
    readonly execution: string;
    readonly requestId: string;
    readonly retryAfterMs?: number;
  };
}

/** Sends a generation request and reads its answer to the end. */
export async function generate(
  address: string,
  input: GenerateInput = {},
): Promise<ReceivedAnswer> {
  const {organisation = 'school-a', ...body} = input;
  const fullInput = {kind: 'chat', prompt: 'hello', maxTokens: 8, ...body};
  const response = await request(`http://${address}/v1/generate`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${API_KEYS[organisation]}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify(fullInput),
  });
  const text = await response.body.text();
  const events =
    response.statusCode === 200
      ? parseEvents(text)
      : [{event: 'error', data: JSON.parse(text) as EventData}];
  return createReceivedAnswer(response.statusCode, events, fullInput);
}

/** Calls the booking service with an idempotency key. */
export async function callBookingService(
  address: string,
  key: string,
  body = '{"pairing":1}',
): Promise<{readonly httpStatus: number; readonly body: string}> {
  const response = await request(`http://${address}/v1/services/booking`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${API_KEYS['school-a']}`,
      'content-type': 'application/json',
      'idempotency-key': key,
    },
    body,
  });
  return {
    httpStatus: response.statusCode,
    body: await response.body.text(),
  };
}

interface StreamEvent {
  readonly event: string;
  readonly data: EventData;
}

function parseEvents(text: string): readonly StreamEvent[] {
  return text
    .split('\n\n')
    .filter(block => block !== '')
    .map(block => {
      const [event, data] = block.split('\n');
      return {
        event: event.slice('event: '.length),
        data: JSON.parse(data.slice('data: '.length)) as EventData,
      };
    });
}

function createReceivedAnswer(
  httpStatus: number,
  events: readonly StreamEvent[],
  input: {readonly prompt: string; readonly maxTokens: number},
): ReceivedAnswer {
  const last = events.at(-1);
  const tokens = events.flatMap(({event, data}) =>
    event === 'token' ? [data.text ?? ''] : [],
  );
  const isDone = last?.event === 'done';
  const {model = '', version = ''} = last?.data ?? {};
  const expected = expectedTokens(
    {
      requestId: last?.data.engineRequestId ?? '',
      prompt: input.prompt,
      model,
      version,
    },
    input.maxTokens,
  );
  return {
    requestId: last?.data.error?.requestId ?? last?.data.requestId ?? '',
    httpStatus,
    code: isDone ? 'ok' : (last?.data.error?.code ?? 'cut'),
    execution: last?.data.error?.execution,
    retryAfterMs: last?.data.error?.retryAfterMs,
    version: `${model}@${version}`,
    session: last?.data.session,
    tokens,
    isComplete: isDone && JSON.stringify(tokens) === JSON.stringify(expected),
  };
}
