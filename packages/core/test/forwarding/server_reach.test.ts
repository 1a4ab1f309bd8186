import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ServerReach} from '../../src/index.js';

const SERVERS = 13;

function cutOff(reach: ServerReach, service = 'engine'): void {
  for (const id of ['i-1', 'i-2', 'i-3']) reach.recordUnreached(service, id);
}

test('a service is relayed once three of its servers, or all, take no connection', () => {
  const reach = ServerReach.create();
  reach.recordUnreached('engine', 'i-1');
  reach.recordUnreached('engine', 'i-2');
  reach.recordUnreached('engine', 'i-2');
  assert.equal(reach.isCutOff('engine', SERVERS), false);
  assert.equal(reach.isCutOff('engine', 2), true);
  reach.recordUnreached('engine', 'i-3');
  assert.equal(reach.isCutOff('engine', SERVERS), true);
  assert.equal(reach.isCutOff('app', SERVERS), false);
});

test('servers that fail between answers of others do not cut a service off', () => {
  const reach = ServerReach.create();
  for (let index = 0; index < 20; index += 1) {
    reach.recordUnreached('engine', `i-${index}`);
    reach.recordReached('engine', SERVERS);
  }
  assert.equal(reach.isCutOff('engine', SERVERS), false);
});

test('one answer leads back to the direct way', () => {
  const reach = ServerReach.create();
  assert.equal(reach.recordReached('engine', SERVERS), false);
  cutOff(reach);
  assert.equal(reach.recordReached('engine', SERVERS), true);
  assert.equal(reach.isCutOff('engine', SERVERS), false);
});

test('a cut-off service is probed once a second, others are not', () => {
  const reach = ServerReach.create();
  reach.recordUnreached('app', 'i-9');
  cutOff(reach);
  const countServers = (): number => SERVERS;
  const probes = Array.from({length: 30}, (_, step) =>
    reach.takeDueProbes(countServers, step * 100),
  );
  assert.deepEqual(probes.flat(), ['engine', 'engine', 'engine']);
});
