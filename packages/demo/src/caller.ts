import {expectedTokens} from '@anvilrudder/stand-ins';
import {request} from 'undici';

/** Result of a generation, as received by the caller. */
export interface GenerateResult {
  readonly httpStatus: number;
  /** `ok` or the error code. */
  readonly code: string;
  readonly model: string;
  readonly version: string;
  readonly session: string | undefined;
  /** True if the stream has exactly the tokens expected for this request. */
  readonly isComplete: boolean;
  readonly retryAfterS: string | undefined;
}

/** Parameters of a generation. */
export interface GenerateInput {
  readonly baseUrl: string;
  readonly apiKey: string;
  readonly kind: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly session?: string;
}

/** Status and body of an HTTP response. */
export interface HttpResponse {
  readonly httpStatus: number;
  readonly body: string;
}

interface EventData {
  readonly index?: number;
  readonly text?: string;
  readonly engineRequestId?: string;
  readonly model?: string;
  readonly version?: string;
  readonly session?: string;
  readonly error?: {readonly code: string};
}

interface StreamEvent {
  readonly event: string;
  readonly data: EventData;
}

/** Sends a generation and compares the tokens with the expected ones. */
export async function callGenerate(
  input: GenerateInput,
): Promise<GenerateResult> {
  const {baseUrl, apiKey, ...body} = input;
  const response = await request(`${baseUrl}/v1/generate`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${apiKey}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify(body),
  });
  const text = await response.body.text();
  const retryAfter = response.headers['retry-after'];
  if (response.statusCode !== 200) {
    const {error} = JSON.parse(text) as EventData;
    return createFailedResult(
      response.statusCode,
      error?.code ?? 'none',
      retryAfter,
    );
  }
  const events = parseEvents(text);
  const last = events.at(-1);
  if (last?.event !== 'done') {
    return createFailedResult(200, last?.data.error?.code ?? 'cut', retryAfter);
  }
  return {
    httpStatus: 200,
    code: 'ok',
    model: last.data.model ?? '',
    version: last.data.version ?? '',
    session: last.data.session,
    isComplete: hasExpectedTokens(events, last.data, input),
    retryAfterS: undefined,
  };
}

/** Sends an HTTP request and reads the whole response. */
export async function sendHttpRequest(
  url: string,
  options: {
    readonly method?: 'GET' | 'POST' | 'PUT';
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
  } = {},
): Promise<HttpResponse> {
  const response = await request(url, {
    method: options.method ?? 'GET',
    headers: {...options.headers},
    body: options.body,
  });
  return {httpStatus: response.statusCode, body: await response.body.text()};
}

function createFailedResult(
  httpStatus: number,
  code: string,
  retryAfter: string | string[] | undefined,
): GenerateResult {
  return {
    httpStatus,
    code,
    model: '',
    version: '',
    session: undefined,
    isComplete: false,
    retryAfterS: typeof retryAfter === 'string' ? retryAfter : undefined,
  };
}

function parseEvents(text: string): readonly StreamEvent[] {
  return text
    .split('\n\n')
    .filter(block => block !== '')
    .map(block => {
      const [eventLine, dataLine] = block.split('\n');
      return {
        event: eventLine.slice('event: '.length),
        data: JSON.parse(dataLine.slice('data: '.length)) as EventData,
      };
    });
}

function hasExpectedTokens(
  events: readonly StreamEvent[],
  done: EventData,
  input: GenerateInput,
): boolean {
  const expected = expectedTokens(
    {
      requestId: done.engineRequestId ?? '',
      prompt: input.prompt,
      model: done.model ?? '',
      version: done.version ?? '',
    },
    input.maxTokens,
  );
  const actual = events
    .filter(({event}) => event === 'token')
    .map(({data}) => data.text);
  return JSON.stringify(actual) === JSON.stringify(expected);
}
