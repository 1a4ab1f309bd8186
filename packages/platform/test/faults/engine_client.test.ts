import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import type {Execution} from '@anvilrudder/core';
import {expectedTokens, type EngineFaults} from '@anvilrudder/stand-ins';
import type {
  BackendFailure,
  BackendPhase,
  GenerateOptions,
  GenerateRequest,
} from '../../src/index.js';
import {
  REQUEST,
  TOKEN_COUNT,
  engines,
  run,
  startEngine,
} from '../support/engine_run.js';
import {reserveClosedAddress} from '../support/tcp_server.js';

after(() => engines.close());

interface StreamFaultCase {
  readonly fault: string;
  readonly faults: Partial<EngineFaults>;
  readonly request?: Partial<GenerateRequest>;
  readonly options?: GenerateOptions;
  readonly phase: BackendPhase;
  readonly failure: BackendFailure;
  readonly execution: Execution;
  readonly code?: string;
  readonly tokenCount: number;
}

const STREAM_FAULT_CASES: readonly StreamFaultCase[] = [
  {
    fault: 'queue full',
    faults: {refuse: 1},
    phase: 'refused',
    failure: 'refused',
    execution: 'notRun',
    code: 'full',
    tokenCount: 0,
  },
  {
    fault: 'version not loaded',
    faults: {},
    request: {version: 'v9'},
    phase: 'refused',
    failure: 'refused',
    execution: 'notRun',
    code: 'not_loaded',
    tokenCount: 0,
  },
  {
    fault: 'withheld right before the first byte',
    faults: {},
    options: {confirmSend: () => false},
    phase: 'beforeFirstByte',
    failure: 'withheld',
    execution: 'notRun',
    tokenCount: 0,
  },
  {
    fault: 'engine hangs before it answers',
    faults: {isHung: true},
    options: {firstByteTimeoutMs: 40},
    phase: 'sent',
    failure: 'timeout',
    execution: 'unknown',
    tokenCount: 0,
  },
  {
    fault: 'cut before the first token',
    faults: {cutAfterTokens: 0},
    phase: 'streaming',
    failure: 'cut',
    execution: 'unknown',
    tokenCount: 0,
  },
  {
    fault: 'cut after three tokens',
    faults: {cutAfterTokens: 3},
    phase: 'streaming',
    failure: 'cut',
    execution: 'unknown',
    tokenCount: 3,
  },
  {
    fault: 'cut between the last token and the end',
    faults: {cutAfterTokens: TOKEN_COUNT},
    phase: 'streaming',
    failure: 'cut',
    execution: 'unknown',
    tokenCount: TOKEN_COUNT,
  },
  {
    fault: 'cut of a resumed stream',
    faults: {cutAfterTokens: 2},
    request: {resumeFromToken: 3},
    phase: 'streaming',
    failure: 'cut',
    execution: 'unknown',
    tokenCount: 5,
  },
  {
    fault: 'token left out',
    faults: {skipToken: 2},
    phase: 'streaming',
    failure: 'incomplete',
    execution: 'unknown',
    tokenCount: 2,
  },
  {
    fault: 'last token left out',
    faults: {skipToken: TOKEN_COUNT - 1},
    phase: 'streaming',
    failure: 'incomplete',
    execution: 'unknown',
    tokenCount: TOKEN_COUNT - 1,
  },
  {
    fault: 'engine reports a failure',
    faults: {failRate: 1},
    phase: 'streaming',
    failure: 'failed',
    execution: 'ran',
    code: 'failed',
    tokenCount: 3,
  },
  {
    fault: 'engine stalls within the answer',
    faults: {tokenDelayMs: 60_000},
    options: {idleTimeoutMs: 40},
    phase: 'streaming',
    failure: 'timeout',
    execution: 'unknown',
    tokenCount: 1,
  },
];

for (const row of STREAM_FAULT_CASES) {
  const {phase, failure, execution, code, tokenCount} = row;
  test(`[not-run] ${row.fault}: ${phase}, ${failure}, ${execution}`, async t => {
    const engine = await startEngine(t);
    engine.setFaults(row.faults);
    const request = {...REQUEST, ...row.request};
    const {texts, error} = await run(engine.address, request, row.options);
    const expected = expectedTokens(request, tokenCount);
    assert.deepEqual(texts, expected.slice(request.resumeFromToken ?? 0));
    assert.deepEqual(
      [error?.phase, error?.failure, error?.execution, error?.code],
      [phase, failure, execution, code],
    );
    assert.equal(error?.tokenCount, tokenCount);
    if (execution !== 'notRun') return;
    assert.deepEqual(engine.counters().executions, {});
  });
}

test('[not-run] a refused connection is known to be unsent', async () => {
  const {error} = await run(await reserveClosedAddress());
  assert.equal(error?.phase, 'beforeFirstByte');
  assert.equal(error?.execution, 'notRun');
});
