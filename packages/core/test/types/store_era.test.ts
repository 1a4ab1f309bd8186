import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StoreEra, type EraChange} from '../../src/index.js';

function createEra(): {readonly era: StoreEra; readonly changes: EraChange[]} {
  const era = StoreEra.create();
  const changes: EraChange[] = [];
  era.onChange(change => changes.push(change));
  return {era, changes};
}

test('the first era is no change', () => {
  const {era, changes} = createEra();
  assert.equal(era.record(4, undefined), 'current');
  assert.equal(era.current, 4);
  assert.deepEqual(changes, []);
});

test('a higher era is a change, and is reported once', () => {
  const {era, changes} = createEra();
  era.record(4, undefined);
  assert.equal(era.record(6, 4), 'changed');
  assert.equal(era.record(6, 4), 'current');
  assert.deepEqual(changes, [{era: 6, previous: 4}]);
});

test('a response to a call made before the change is outdated', () => {
  const {era, changes} = createEra();
  era.record(4, undefined);
  era.record(5, 4);
  assert.equal(era.record(4, 4), 'outdated');
  assert.equal(era.current, 5);
  assert.equal(changes.length, 1);
});

test('a lower era in response to a later call replaces the known one', () => {
  const {era, changes} = createEra();
  era.record(4, undefined);
  era.record(900, 4);
  assert.equal(era.record(4, 900), 'changed');
  assert.equal(era.current, 4);
  assert.deepEqual(changes.at(-1), {era: 4, previous: 900});
});

test('a removed listener is not called', () => {
  const era = StoreEra.create();
  let calls = 0;
  const remove = era.onChange(() => (calls += 1));
  era.record(1, undefined);
  remove();
  era.record(2, 1);
  assert.equal(calls, 0);
});
