import assert from 'node:assert/strict';
import type {TestContext} from 'node:test';
import {
  startEngineStandIn,
  type EngineStandIn,
  type EngineStandInOptions,
} from '@anvilrudder/stand-ins';
import {
  HttpEngineClient,
  isBackendError,
  type BackendError,
  type EngineEvent,
  type GenerateOptions,
  type GenerateRequest,
} from '../../src/index.js';

/** The client under test. */
export const engines = HttpEngineClient.create();

/** Number of tokens in the complete answer to {@link REQUEST}. */
export const TOKEN_COUNT = 6;

/** A request that an engine from {@link startEngine} accepts. */
export const REQUEST: GenerateRequest = {
  requestId: 'r-1',
  model: 'quick',
  version: 'v1',
  prompt: 'hello',
  maxTokens: TOKEN_COUNT,
  priority: 'normal',
  deadlineMs: 5000,
};

/** Starts an engine on which the version of {@link REQUEST} is loaded. */
export async function startEngine(
  t: TestContext,
  options: EngineStandInOptions = {},
): Promise<EngineStandIn> {
  const loaded = [{model: 'quick', version: 'v1'}];
  const engine = await startEngineStandIn({loaded, ...options});
  t.after(() => engine.stop());
  return engine;
}

/** Token texts, last event and error of a generation. */
export interface GenerationOutcome {
  readonly texts: readonly string[];
  readonly last: EngineEvent | undefined;
  readonly error: BackendError | undefined;
}

/** Runs a generation until it ends or fails. */
export async function runGeneration(
  address: string,
  request: GenerateRequest = REQUEST,
  options?: GenerateOptions,
): Promise<GenerationOutcome> {
  const texts: string[] = [];
  let last: EngineEvent | undefined;
  try {
    for await (const event of engines.generate(address, request, options)) {
      if (event.kind === 'token') texts.push(event.text);
      last = event;
    }
  } catch (error) {
    assert.ok(isBackendError(error), String(error));
    return {texts, last, error};
  }
  return {texts, last, error: undefined};
}
