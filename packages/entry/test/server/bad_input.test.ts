import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {after, before, test} from 'node:test';
import {generate} from '../support/test_caller.js';
import {
  API_KEYS,
  startTestDeployment,
  type TestDeployment,
} from '../support/test_deployment.js';

interface BadInputCase {
  readonly name: string;
  readonly request: string;
  readonly httpStatus: number;
  readonly code: string;
}

const AUTHORIZATION_HEADER = `Authorization: Bearer ${API_KEYS['school-a']}`;
const CONTENT_TYPE_HEADER = 'Content-Type: application/json';
const HUGE_BODY_BYTES = 2_000_000;

function createPost(
  body: string,
  headers: readonly string[] = [AUTHORIZATION_HEADER, CONTENT_TYPE_HEADER],
  path = '/v1/generate',
): string {
  return [
    `POST ${path} HTTP/1.1`,
    'Host: entry',
    'Connection: close',
    ...headers,
    `Content-Length: ${Buffer.byteLength(body)}`,
    '',
    body,
  ].join('\r\n');
}

const VALID_BODY = '{"kind":"chat","prompt":"x"}';

const CASES: readonly BadInputCase[] = [
  {
    name: 'no API key',
    request: createPost(VALID_BODY, [CONTENT_TYPE_HEADER]),
    httpStatus: 401,
    code: 'unauthenticated',
  },
  {
    name: 'a wrong API key',
    request: createPost(VALID_BODY, [
      'Authorization: Bearer nobody',
      CONTENT_TYPE_HEADER,
    ]),
    httpStatus: 401,
    code: 'unauthenticated',
  },
  {
    name: 'two API keys',
    request: createPost(VALID_BODY, [
      AUTHORIZATION_HEADER,
      'Authorization: Bearer other',
    ]),
    httpStatus: 400,
    code: 'invalid_request',
  },
  {
    name: 'broken JSON',
    request: createPost('{"kind":'),
    httpStatus: 400,
    code: 'invalid_json',
  },
  {
    name: 'an unknown field',
    request: createPost('{"kind":"chat","prompt":"x","modle":"quick"}'),
    httpStatus: 400,
    code: 'invalid_request',
  },
  {
    name: 'an unknown kind',
    request: createPost('{"kind":"nothing","prompt":"x"}'),
    httpStatus: 404,
    code: 'unknown_kind',
  },
  {
    name: 'an unknown model',
    request: createPost(
      '{"kind":"chat","prompt":"x","model":"none","version":"v1"}',
    ),
    httpStatus: 404,
    code: 'unknown_model',
  },
  {
    name: 'a path that does not exist',
    request: createPost(VALID_BODY, [AUTHORIZATION_HEADER], '/v2/generate'),
    httpStatus: 404,
    code: 'not_found',
  },
  {
    name: 'a method that the path does not accept',
    request:
      'GET /v1/generate HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n',
    httpStatus: 405,
    code: 'method_not_allowed',
  },
  {
    name: 'a Content-Length above the limit',
    request: `POST /v1/generate HTTP/1.1\r\nHost: e\r\n${AUTHORIZATION_HEADER}\r\nContent-Length: ${HUGE_BODY_BYTES}\r\n\r\n`,
    httpStatus: 413,
    code: 'body_too_large',
  },
  {
    name: 'a Content-Length together with chunked encoding',
    request: `POST /v1/generate HTTP/1.1\r\nHost: e\r\n${AUTHORIZATION_HEADER}\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /metrics HTTP/1.1\r\n\r\n`,
    httpStatus: 400,
    code: 'invalid_request',
  },
  {
    name: 'two Content-Length headers that differ',
    request: `POST /v1/generate HTTP/1.1\r\nHost: e\r\n${AUTHORIZATION_HEADER}\r\nContent-Length: 5\r\nContent-Length: 50\r\n\r\nhello`,
    httpStatus: 400,
    code: 'invalid_request',
  },
  {
    name: 'bytes that are not HTTP',
    request: '\u0000\u0001 nonsense\r\n\r\n',
    httpStatus: 400,
    code: 'invalid_request',
  },
  {
    name: 'a service that no rule names',
    request: createPost('{}', [AUTHORIZATION_HEADER], '/v1/services/nothing'),
    httpStatus: 404,
    code: 'unknown_kind',
  },
];

let deployment: TestDeployment;

before(async () => {
  deployment = await startTestDeployment();
});

after(async () => {
  await deployment.stop();
});

async function sendRawRequest(
  address: string,
  request: string,
): Promise<string> {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  await once(socket, 'connect');
  socket.write(request);
  const chunks: Buffer[] = [];
  socket.on('data', chunk => chunks.push(chunk));
  await once(socket, 'close');
  return Buffer.concat(chunks).toString();
}

for (const {name, request, httpStatus, code} of CASES) {
  test(`${name} gets an error response with a code and the entry keeps serving`, async () => {
    const [entry] = deployment.entries;
    const answer = await sendRawRequest(entry.callerAddress, request);
    assert.match(answer, new RegExp(`^HTTP/1.1 ${httpStatus} `));
    assert.equal(answer.match(/HTTP\/1\.1 /g)?.length, 1, answer);
    const body = JSON.parse(answer.slice(answer.indexOf('\r\n\r\n') + 4)) as {
      readonly error: {readonly code: string; readonly execution: string};
    };
    assert.equal(body.error.code, code);
    assert.equal(body.error.execution, 'notRun');
    assert.equal((await generate(entry.callerAddress)).isComplete, true);
  });
}

// Guards against an error for later bytes of a connection that is taken for the
// answer to the request that is running on it.
test('bytes that are not HTTP leave the request before them its answer', async () => {
  const [entry] = deployment.entries;
  const request = createPost(VALID_BODY).replace('Connection: close\r\n', '');
  const answer = await sendRawRequest(
    entry.callerAddress,
    `${request}nonsense\r\n\r\n`,
  );
  assert.match(answer, /^HTTP\/1\.1 200 /);
  assert.match(answer, /event: done/);
  assert.equal(answer.match(/HTTP\/1\.1 /g)?.length, 1, answer);
});

test('a request whose own body cannot be read is rejected at once', async () => {
  const [entry] = deployment.entries;
  const answer = await sendRawRequest(
    entry.callerAddress,
    `POST /v1/generate HTTP/1.1\r\nHost: e\r\n${AUTHORIZATION_HEADER}\r\n` +
      'Transfer-Encoding: chunked\r\n\r\nno size\r\nx\r\n',
  );
  assert.match(answer, /^HTTP\/1\.1 400 /);
});
