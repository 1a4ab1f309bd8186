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
  formatAnswer,
  formatEvent,
  startFakeEntry,
  type EntryBody,
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
  wantsSession: true,
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

interface AnswerCase {
  readonly answer: string;
  readonly write: (body: EntryBody, response: ServerResponse) => void;
  readonly code: string;
  readonly execution: Execution;
  readonly verdict?: Verdict;
}

const STREAM_ERROR = {
  error: {code: 'stream_broken', message: 'x', execution: 'unknown'},
};
const REFUSAL = JSON.stringify({
  error: {code: 'overloaded', message: 'x', execution: 'notRun'},
});
const OTHER = 'q-2';

// prettier-ignore
const ANSWER_CASES: readonly AnswerCase[] = [
  {answer: 'whole', write: (b, r) => r.end(formatAnswer(b, 'v1')), code: 'ok', execution: 'ran', verdict: 'whole'},
  {answer: 'without its last token', write: (b, r) => r.end(formatAnswer(b, 'v1', t => t.slice(0, -1))), code: 'ok', execution: 'ran', verdict: 'incomplete'},
  {answer: 'of another length', write: (b, r) => r.end(formatAnswer(b, 'v1', t => t, {tokenCount: 9})), code: 'ok', execution: 'ran', verdict: 'incomplete'},
  {answer: 'with tokens swapped', write: (b, r) => r.end(formatAnswer(b, 'v1', t => [...t].reverse())), code: 'ok', execution: 'ran', verdict: 'foreign'},
  {answer: 'with tokens of another request', write: (b, r) => r.end(formatAnswer({...b, prompt: 'other'}, 'v1')), code: 'ok', execution: 'ran', verdict: 'foreign'},
  {answer: 'with the id of another request', write: (b, r) => r.end(formatAnswer(b, 'v1', t => t, {requestId: OTHER})), code: 'ok', execution: 'ran', verdict: 'foreign'},
  {answer: 'with the engine id of another request', write: (b, r) => r.end(formatAnswer(b, 'v1', t => t, {engineRequestId: OTHER})), code: 'ok', execution: 'ran', verdict: 'foreign'},
  {answer: 'without a start', write: (b, r) => r.end(formatAnswer(b, 'v1').replace('event: start', 'event: other')), code: 'ok', execution: 'ran', verdict: 'foreign'},
  {answer: 'with an error event', write: (_, r) => r.end(formatEvent('error', STREAM_ERROR)), code: 'stream_broken', execution: 'unknown'},
  {answer: 'refused', write: (_, r) => r.writeHead(503).end(REFUSAL), code: 'overloaded', execution: 'notRun'},
  {answer: 'of a bare status', write: (_, r) => r.writeHead(500).end(), code: 'status_500', execution: 'unknown'},
  {answer: 'without an end', write: (_, r) => r.end(formatEvent('start', {})), code: 'client_no_end', execution: 'unknown'},
  {answer: 'cut', write: (_, r) => r.socket?.destroy(), code: 'client_cut', execution: 'unknown'},
];

for (const {answer, write, code, execution, verdict} of ANSWER_CASES) {
  test(`answer ${answer}: ${code}, ${verdict ?? 'no verdict'}`, async t => {
    const {target} = await start(t, {generate: write});
    const outcome = await target.generate(REQUEST, observer);
    assert.equal(outcome.code, code);
    assert.equal(outcome.execution, execution);
    assert.equal(outcome.verdict, verdict);
  });
}

test('a session is used again, a move is seen, a withdrawn one is dropped', async t => {
  const {entry, target} = await start(t, {
    generate: (body, response, count) => {
      if (count === 3) {
        const error = {code: 'version_withdrawn', execution: 'notRun'};
        response.writeHead(409).end(JSON.stringify({error}));
        return;
      }
      const version = count === 2 ? 'v2' : 'v1';
      response.end(formatAnswer(body, version, undefined, {session: 's-1'}));
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

test('a confirmation carries its key and says whether it ran', async t => {
  const keys: string[] = [];
  const {target} = await start(t, {
    confirm: (key, response) => {
      keys.push(key);
      if (keys.length === 1) response.end('{}');
      else response.writeHead(503).end(REFUSAL);
    },
  });
  const first = await target.confirm(CONFIRMATION);
  const second = await target.confirm(CONFIRMATION);
  assert.deepEqual(keys, ['i-1', 'i-1']);
  assert.deepEqual([first.code, first.execution], ['ok', 'ran']);
  assert.deepEqual([second.code, second.execution], ['overloaded', 'notRun']);
});
