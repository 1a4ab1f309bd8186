import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  computeFailureRate,
  computePauseLeftMs,
  INITIAL_AVAILABILITY,
  ServerTable,
  type RegisteredServer,
} from '../../src/index.js';

const SERVER: RegisteredServer = {
  id: 'i-1',
  service: 'engine',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  softwareVersion: 'v1',
  slots: 8,
  isLeaving: false,
  startedAtMs: 1000,
};
const NOW_MS = 500;
const FIVE_MINUTES_MS = 300_000;

function createTable(): ServerTable {
  const table = ServerTable.create();
  table.put(SERVER);
  return table;
}

test('a leaving server stays leaving when it is registered as ready again', () => {
  const table = createTable();
  table.put({...SERVER, isLeaving: true});
  table.put({...SERVER, slots: 9});
  assert.equal(table.mayReceive(SERVER, NOW_MS), false);
  assert.equal(table.find('i-1')?.server.slots, 9);
});

test('a new run under the same id is not leaving, not paused and has an empty cache', () => {
  const table = createTable();
  const parts = [{id: 'shared', tokens: 100}];
  const demand = {model: 'm', promptTokens: 100, maxOutputTokens: 1, parts};
  table.begin('i-1', 10, 'm', demand, NOW_MS);
  table.markLeaving(SERVER);
  table.pause(SERVER, 1000, NOW_MS);
  const restarted = {...SERVER, startedAtMs: 2000};
  table.put(restarted);
  assert.equal(table.mayReceive(restarted, NOW_MS), true);
  const record = table.find('i-1');
  assert.equal(record?.inFlight, 0);
  assert.equal(record?.prefixCache.countCachedTokens('m', parts), 0);
});

test('responses of an earlier run do not change the record of the next one', () => {
  const table = createTable();
  const send = table.begin('i-1', 10, 'm', undefined, NOW_MS);
  assert.ok(send);
  const restarted = {...SERVER, startedAtMs: 2000};
  table.put(restarted);
  table.begin('i-1', 10, 'm', undefined, NOW_MS);
  table.markLeaving(SERVER);
  table.pause(SERVER, 1000, NOW_MS);
  table.end(send, 'lost', NOW_MS);
  const record = table.find('i-1');
  assert.ok(record);
  assert.equal(record.inFlight, 1);
  assert.equal(computeFailureRate(record.health, NOW_MS), 0);
  assert.equal(table.mayReceive(restarted, NOW_MS), true);
});

test('a pause ends after the requested time, and a shorter one does not end it sooner', () => {
  const table = createTable();
  table.pause(SERVER, 2000, NOW_MS);
  table.pause(SERVER, 100, NOW_MS + 50);
  assert.equal(table.mayReceive(SERVER, NOW_MS + 1999), false);
  assert.equal(table.mayReceive(SERVER, NOW_MS + 2000), true);
});

test('a server that asks for a pause of a day is tried again after five minutes', () => {
  const table = createTable();
  table.pause(SERVER, 86_400_000, NOW_MS);
  assert.equal(table.mayReceive(SERVER, NOW_MS + FIVE_MINUTES_MS - 1), false);
  assert.equal(table.mayReceive(SERVER, NOW_MS + FIVE_MINUTES_MS), true);
});

test('a paused server is not counted as failing', () => {
  const table = createTable();
  const send = table.begin('i-1', 10, 'm', undefined, NOW_MS);
  assert.ok(send);
  table.end(send, 'paused', NOW_MS);
  const record = table.find('i-1');
  assert.ok(record);
  assert.equal(computeFailureRate(record.health, NOW_MS), 0);
});

test('the pause of several servers ends with the first one that is not leaving', () => {
  const paused = (untilMs: number) => ({
    ...INITIAL_AVAILABILITY,
    pausedUntilMs: untilMs,
  });
  const leaving = {...INITIAL_AVAILABILITY, isLeaving: true};
  assert.equal(computePauseLeftMs([paused(900), paused(700)], NOW_MS), 200);
  assert.equal(computePauseLeftMs([paused(900), leaving], NOW_MS), 400);
  assert.equal(
    computePauseLeftMs([paused(900), INITIAL_AVAILABILITY], NOW_MS),
    0,
  );
  assert.equal(computePauseLeftMs([leaving], NOW_MS), 0);
});
