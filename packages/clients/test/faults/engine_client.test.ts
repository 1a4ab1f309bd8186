import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {expectedTokens, type EngineFaults} from '@anvilrudder/stand-ins';
import type {GenerateOptions, GenerateRequest} from '../../src/index.js';
import {
  REQUEST,
  TOKEN_COUNT,
  engines,
  runGeneration,
  startEngine,
} from '../support/run_generation.js';
import {reserveClosedAddress} from '../support/tcp_server.js';

after(() => engines.close());

interface StreamFaultCase {
  readonly fault: string;
  readonly faults: Partial<EngineFaults>;
  readonly request?: Partial<GenerateRequest>;
  readonly options?: GenerateOptions;
  /** Phase, failure, execution and code of the error. */
  readonly expected: string;
  readonly tokens: number;
}

const WITHHELD: GenerateOptions = {confirmSend: () => false};
const SHORT_TIMEOUTS: GenerateOptions = {
  firstByteTimeoutMs: 300,
  idleTimeoutMs: 300,
};
const REFUSED = 'refused refused notRun';
const CUT = 'streaming cut unknown';
const INCOMPLETE = 'streaming incomplete unknown';
const ALL_TOKENS = TOKEN_COUNT;

// prettier-ignore
const STREAM_FAULT_CASES: readonly StreamFaultCase[] = [
  {fault: 'queue full', faults: {refuse: 1}, expected: `${REFUSED} full`, tokens: 0},
  {fault: 'not loaded', faults: {}, request: {version: 'v9'}, expected: `${REFUSED} not_loaded`, tokens: 0},
  {fault: 'withheld right before the first byte', faults: {}, options: WITHHELD, expected: 'beforeFirstByte withheld notRun', tokens: 0},
  {fault: 'hangs before responding', faults: {isHung: true}, options: SHORT_TIMEOUTS, expected: 'sent timeout unknown', tokens: 0},
  {fault: 'cut before the first token', faults: {cutAfterTokens: 0}, expected: CUT, tokens: 0},
  {fault: 'cut after three tokens', faults: {cutAfterTokens: 3}, expected: CUT, tokens: 3},
  {fault: 'cut between the last token and the end', faults: {cutAfterTokens: ALL_TOKENS}, expected: CUT, tokens: ALL_TOKENS},
  {fault: 'cut of a resumed stream', faults: {cutAfterTokens: 2}, request: {resumeFromToken: 3}, expected: CUT, tokens: 5},
  {fault: 'token missing', faults: {skipToken: 2}, expected: INCOMPLETE, tokens: 2},
  {fault: 'last token missing', faults: {skipToken: ALL_TOKENS - 1}, expected: INCOMPLETE, tokens: ALL_TOKENS - 1},
  {fault: 'engine reports a failure', faults: {failRate: 1}, expected: 'streaming failed ran failed', tokens: 3},
  {fault: 'stalls during the answer', faults: {tokenDelayMs: 60_000}, options: SHORT_TIMEOUTS, expected: 'streaming timeout unknown', tokens: 1},
];

for (const row of STREAM_FAULT_CASES) {
  test(`[not-run] ${row.fault}: ${row.expected}`, async t => {
    const engine = await startEngine(t);
    engine.setFaults(row.faults);
    const request = {...REQUEST, ...row.request};
    const {texts, error} = await runGeneration(
      engine.address,
      request,
      row.options,
    );
    assert.ok(error);
    const {phase, failure, execution, code = '', tokenCount} = error;
    const seen = [phase, failure, execution, code].join(' ').trim();
    assert.equal(seen, row.expected);
    assert.equal(tokenCount, row.tokens);
    const expected = expectedTokens(request, row.tokens);
    assert.deepEqual(texts, expected.slice(request.resumeFromToken ?? 0));
    if (execution !== 'notRun') return;
    assert.deepEqual(engine.counters().executions, {});
  });
}

test('[not-run] a request counts as unsent when the connection is refused', async () => {
  const {error} = await runGeneration(await reserveClosedAddress());
  assert.equal(error?.phase, 'beforeFirstByte');
  assert.equal(error?.execution, 'notRun');
});
