import {expectedTokens} from '@anvilrudder/stand-ins';
import {request} from 'undici';

/** The end of one generation as a caller saw it. */
export interface GenerateAnswer {
  readonly httpStatus: number;
  /** `ok` or the error code. */
  readonly code: string;
  readonly model: string;
  readonly version: string;
  readonly session: string | undefined;
  /** True when every token is the one expected for this very request. */
  readonly isWhole: boolean;
  readonly retryAfterS: string | undefined;
}

/** A generation to ask for. */
export interface GenerateInput {
  readonly baseUrl: string;
  readonly apiKey: string;
  readonly kind: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly session?: string;
}

/** The answer of a plain call. */
export interface PlainAnswer {
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

/** Sends a generation and checks its answer token by token. */
export async function callGenerate(
  input: GenerateInput,
): Promise<GenerateAnswer> {
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
    return createFailure(
      response.statusCode,
      error?.code ?? 'none',
      retryAfter,
    );
  }
  const events = parseEvents(text);
  const last = events.at(-1);
  if (last?.event !== 'done') {
    return createFailure(200, last?.data.error?.code ?? 'cut', retryAfter);
  }
  return {
    httpStatus: 200,
    code: 'ok',
    model: last.data.model ?? '',
    version: last.data.version ?? '',
    session: last.data.session,
    isWhole: isWhole(events, last.data, input),
    retryAfterS: undefined,
  };
}

/** Sends a plain request. */
export async function callPlain(
  url: string,
  options: {
    readonly method?: 'GET' | 'POST' | 'PUT';
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
  } = {},
): Promise<PlainAnswer> {
  const response = await request(url, {
    method: options.method ?? 'GET',
    headers: {...options.headers},
    body: options.body,
  });
  return {httpStatus: response.statusCode, body: await response.body.text()};
}

function createFailure(
  httpStatus: number,
  code: string,
  retryAfter: string | string[] | undefined,
): GenerateAnswer {
  return {
    httpStatus,
    code,
    model: '',
    version: '',
    session: undefined,
    isWhole: false,
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

function isWhole(
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
