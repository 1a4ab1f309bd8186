import assert from 'node:assert/strict';
import {test} from 'node:test';
import {resolveMembers, type Member} from '../../src/index.js';

function createMember(host: string, incarnation: string, port = host): Member {
  return {
    host,
    incarnation,
    failureDomain: `d-${host}`,
    peerAddress: `127.0.0.1:${port}`,
  };
}

const A1 = createMember('a', '1');
const A2 = createMember('a', '2');
const A3_ELSEWHERE = createMember('a', '3', 'b');
const B1 = createMember('b', '1');
const C1 = createMember('c', '1');

const NO_CHANGE = {
  members: [A1, B1],
  joiners: [] as Member[],
  lostKeys: new Set<string>(),
  withoutHosts: [] as string[],
};

const CASES = [
  {name: 'a joiner is added', inputs: {joiners: [C1]}, wanted: [A1, B1, C1]},
  {
    name: 'a successor at the same address replaces its predecessor',
    inputs: {joiners: [A2]},
    wanted: [A2, B1],
  },
  {
    name: 'an incarnation at another address does not replace the earlier one',
    inputs: {joiners: [A3_ELSEWHERE]},
    wanted: [A1, A3_ELSEWHERE, B1],
  },
  {
    name: 'a lost member is removed',
    inputs: {lostKeys: new Set(['b/1'])},
    wanted: [A1],
  },
  {
    name: 'a host to remove is removed together with its joiner',
    inputs: {joiners: [A2], withoutHosts: ['a']},
    wanted: [B1],
  },
];

for (const {name, inputs, wanted} of CASES) {
  test(name, () => {
    assert.deepEqual(resolveMembers({...NO_CHANGE, ...inputs}), wanted);
  });
}
