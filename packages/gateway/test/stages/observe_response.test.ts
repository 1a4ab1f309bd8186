import assert from 'node:assert/strict';
import {test} from 'node:test';
import {DurationEstimator} from '@anvilrudder/core';
import type {GatewayContext} from '../../src/gateway_context.js';
import {
  observeBufferedResponse,
  wasSlowWhenTimeWasOver,
} from '../../src/stages/observe_response.js';
import type {OpenExchange} from '../../src/stages/open_exchange.js';
import type {BackendResponse} from '../../src/stages/backend_response.js';

const ROUTE = 'read';
const USUAL_MS = 40;

interface Fixture {
  readonly context: GatewayContext;
  readonly durations: DurationEstimator;
}

/** Parts of a gateway that know a route and, of its server, the last answer. */
function createFixture(isJudged: boolean, answeredMs = -Infinity): Fixture {
  const durations = DurationEstimator.create();
  durations.observe(ROUTE, USUAL_MS);
  const context = {
    routeDurations: durations,
    versions: {isUnproven: () => isJudged},
    servers: {find: () => ({answeredMs})},
  } as unknown as GatewayContext;
  return {context, durations};
}

const EXCHANGE = {
  admitted: {route: {name: ROUTE}, request: {}},
} as unknown as OpenExchange;
const TARGET = {
  service: {name: 'app'},
  record: {server: {id: 'i-1', softwareVersion: 'v2'}},
} as unknown as BackendResponse['target'];

function observe(context: GatewayContext, elapsedMs: number) {
  const sentMs = performance.now() - elapsedMs;
  const response = {sentMs, target: TARGET} as BackendResponse;
  return observeBufferedResponse(context, EXCHANGE, 'answered', response);
}

// Guards against an expected time that learns from the version that it judges.
test('the expected time of a route does not learn from a version that is judged', () => {
  const {context, durations} = createFixture(true);
  for (let count = 0; count < 50; count += 1)
    assert.equal(observe(context, 8 * USUAL_MS)?.isSlow, true);
  assert.equal(durations.estimate(ROUTE)?.meanMs, USUAL_MS);
});

test('the expected time of a route learns from all other versions', () => {
  const {context, durations} = createFixture(false);
  for (let count = 0; count < 100; count += 1) observe(context, 2 * USUAL_MS);
  assert.ok((durations.estimate(ROUTE)?.meanMs ?? 0) > 1.8 * USUAL_MS);
});

for (const [title, answeredAgoMs, isSlow] of [
  ['is slow if the server has answered another one since', 50, true],
  ['says nothing of a server that has answered none since', 500, false],
] as const) {
  test(`a request whose time is over ${title}`, () => {
    const nowMs = performance.now();
    const {context} = createFixture(true, nowMs - answeredAgoMs);
    const sentMs = nowMs - 400;
    assert.equal(
      wasSlowWhenTimeWasOver(context, EXCHANGE, TARGET, sentMs),
      isSlow,
    );
  });
}
