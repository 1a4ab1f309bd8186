import assert from 'node:assert/strict';
import type {ServerResponse} from 'node:http';
import {test, type TestContext} from 'node:test';
import type {Execution} from '@anvilrudder/core';
import {DEFAULT_LOAD_OPTIONS} from '../../src/index.js';
import {EntryTarget} from '../../src/targets/entry_target.js';
import type {Verdict} from '../../src/targets/target.js';
import type {
  PlannedConfirmation,
  PlannedGeneration,
} from '../../src/workload/workload.js';
import {
  formatResponse,
  formatSseEvent,
  startFakeEntry,
  type GenerationBody,
  type FakeEntry,
  type FakeEntryHandlers,
} from '../support/fake_entry.js';

const REQUEST: PlannedGeneration = {
  type: 'generation',
  requestId: 'load-1',
  kind: 'icebreaker',
  apiKey: 'k',
  prompt: 'hello',
  maxTokens: 4,
  continuesSession: true,
};

const CONFIRMATION: PlannedConfirmation = {
  type: 'confirmation',
  kind: 'booking',
  apiKey: 'k',
  idempotencyKey: 'i-1',
  copies: 1,
};

const observer = {onToken: () => {}};

interface Fixture {
  readonly entry: FakeEntry;
  readonly target: EntryTarget;
}

async function start(
  t: TestContext,
  handlers: FakeEntryHandlers,
): Promise<Fixture> {
  const entry = await startFakeEntry(handlers);
  const options = {...DEFAULT_LOAD_OPTIONS, targets: [entry.url]};
  const target = EntryTarget.create(options, () => 0);
  t.after(async () => {
    await target.close();
    entry.stop();
  });
  return {entry, target};
}

interface ResponseCase {
  readonly response: string;
  readonly write: (body: GenerationBody, response: ServerResponse) => void;
  readonly code: string;
  readonly execution: Execution;
  readonly verdict?: Verdict;
}

const STREAM_ERROR_EVENT = {
  error: {code: 'stream_broken', message: 'x', execution: 'unknown'},
};
const REFUSAL_BODY = JSON.stringify({
  error: {code: 'overloaded', message: 'x', execution: 'notRun'},
});
const OTHER_REQUEST_ID = 'q-2';

// prettier-ignore
const RESPONSE_CASES: readonly ResponseCase[] = [
  {response: 'complete and correct', write: (b, r) => r.end(formatResponse(b, 'v1')), code: 'ok', execution: 'ran', verdict: 'whole'},
  {response: 'without its last token', write: (b, r) => r.end(formatResponse(b, 'v1', t => t.slice(0, -1))), code: 'ok', execution: 'ran', verdict: 'incomplete'},
  {response: 'with a wrong token count', write: (b, r) => r.end(formatResponse(b, 'v1', t => t, {tokenCount: 9})), code: 'ok', execution: 'ran', verdict: 'incomplete'},
  {response: 'with tokens in reverse order', write: (b, r) => r.end(formatResponse(b, 'v1', t => [...t].reverse())), code: 'ok', execution: 'ran', verdict: 'foreign'},
  {response: 'with tokens of another request', write: (b, r) => r.end(formatResponse({...b, prompt: 'other'}, 'v1')), code: 'ok', execution: 'ran', verdict: 'foreign'},
  {response: 'with the id of another request', write: (b, r) => r.end(formatResponse(b, 'v1', t => t, {requestId: OTHER_REQUEST_ID})), code: 'ok', execution: 'ran', verdict: 'foreign'},
  {response: 'with the engine id of another request', write: (b, r) => r.end(formatResponse(b, 'v1', t => t, {engineRequestId: OTHER_REQUEST_ID})), code: 'ok', execution: 'ran', verdict: 'foreign'},
  {response: 'without a start event', write: (b, r) => r.end(formatResponse(b, 'v1').replace('event: start', 'event: other')), code: 'ok', execution: 'ran', verdict: 'foreign'},
  {response: 'with an error event', write: (_, r) => r.end(formatSseEvent('error', STREAM_ERROR_EVENT)), code: 'stream_broken', execution: 'unknown'},
  {response: 'with an error status and an error body', write: (_, r) => r.writeHead(503).end(REFUSAL_BODY), code: 'overloaded', execution: 'notRun'},
  {response: 'with an error status and no body', write: (_, r) => r.writeHead(500).end(), code: 'status_500', execution: 'unknown'},
  {response: 'without a done or error event', write: (_, r) => r.end(formatSseEvent('start', {})), code: 'client_no_end', execution: 'unknown'},
  {response: 'cut off by a closed connection', write: (_, r) => r.socket?.destroy(), code: 'client_cut', execution: 'unknown'},
];

for (const {response, write, code, execution, verdict} of RESPONSE_CASES) {
  test(`response ${response}: ${code}, ${verdict ?? 'no verdict'}`, async t => {
    const {target} = await start(t, {generate: write});
    const outcome = await target.generate(REQUEST, observer);
    assert.equal(outcome.code, code);
    assert.equal(outcome.execution, execution);
    assert.equal(outcome.verdict, verdict);
  });
}

test('continues a session, detects another version and drops a withdrawn session', async t => {
  const {entry, target} = await start(t, {
    generate: (body, response, count) => {
      if (count === 3) {
        const error = {code: 'version_withdrawn', execution: 'notRun'};
        response.writeHead(409).end(JSON.stringify({error}));
        return;
      }
      const version = count === 2 ? 'v2' : 'v1';
      response.end(formatResponse(body, version, undefined, {session: 's-1'}));
    },
  });
  const verdicts = [];
  for (let i = 0; i < 4; i += 1) {
    verdicts.push((await target.generate(REQUEST, observer)).verdict);
  }
  assert.deepEqual(verdicts, ['whole', 'sessionMoved', undefined, 'whole']);
  const sessions = entry.bodies.map(({session}) => session);
  assert.deepEqual(sessions, [undefined, 's-1', 's-1', undefined]);
});

test('a confirmation sends its idempotency key and returns whether it was executed', async t => {
  const keys: string[] = [];
  const {target} = await start(t, {
    confirm: (key, response) => {
      keys.push(key);
      if (keys.length === 1) response.end('{}');
      else response.writeHead(503).end(REFUSAL_BODY);
    },
  });
  const first = await target.confirm(CONFIRMATION);
  const second = await target.confirm(CONFIRMATION);
  assert.deepEqual(keys, ['i-1', 'i-1']);
  assert.deepEqual([first.code, first.execution], ['ok', 'ran']);
  assert.deepEqual([second.code, second.execution], ['overloaded', 'notRun']);
});
