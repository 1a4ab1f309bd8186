import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  BackendBalancer,
  SERVER_POLICIES,
  createRandom,
  type BackendBalancerOptions,
  type BackendServer,
  type LeavingSource,
  type ServerPolicyName,
} from '../../src/index.js';

const VERSION = {model: 'quick', version: 'v1'};
const POLICIES = Object.keys(SERVER_POLICIES) as ServerPolicyName[];

function createServers(count: number): readonly BackendServer[] {
  return Array.from({length: count}, (_, index) => ({
    id: `s${index}`,
    failureDomain: `d${index % 3}`,
    slots: 8,
    loaded: [VERSION],
  }));
}

function createBalancer(
  count: number,
  options: Partial<BackendBalancerOptions> = {},
): BackendBalancer {
  const random = createRandom(1);
  const balancer = BackendBalancer.create({
    failureDomain: 'd0',
    random,
    ...options,
  });
  balancer.updateServers(createServers(count));
  return balancer;
}

function pickMany(
  balancer: BackendBalancer,
  count: number,
  prefixKey?: string,
) {
  return Array.from({length: count}, () =>
    balancer.pick({...VERSION, prefixKey}, 0),
  );
}

for (const source of ['hostList', 'server', 'peer'] as LeavingSource[]) {
  test(`[leaving] no policy picks a server marked as leaving by ${source}`, () => {
    for (const policy of POLICIES) {
      const balancer = createBalancer(3, {policy});
      balancer.markLeaving('s1', source, true);
      assert.ok(!pickMany(balancer, 100, 'p').includes('s1'), policy);
    }
  });
}

test("[leaving] removing one source's mark keeps the mark of another", () => {
  const balancer = createBalancer(2);
  balancer.markLeaving('s1', 'hostList', true);
  balancer.markLeaving('s1', 'server', true);
  balancer.markLeaving('s1', 'server', false);
  assert.ok(!pickMany(balancer, 50).includes('s1'));
});

test('[leaving] an update of the host list keeps the marks of other sources', () => {
  const balancer = createBalancer(2);
  balancer.markLeaving('s1', 'peer', true);
  balancer.updateServers(createServers(2));
  assert.ok(!pickMany(balancer, 50).includes('s1'));
});

test('equal prefixes share a server until its load exceeds the bound', () => {
  const balancer = createBalancer(6);
  const picksAtLowLoad = pickMany(balancer, 2, 'class-7');
  assert.equal(new Set(picksAtLowLoad).size, 1);
  assert.ok(new Set(pickMany(balancer, 60, 'class-7')).size > 3);
});

test('requests without a prefix prefer their own failure domain at equal load', () => {
  const balancer = createBalancer(3, {crossDomainPenalty: 0.5});
  const picks = Array.from({length: 300}, () => {
    const id = balancer.pick(VERSION, 0) as string;
    balancer.finish(id, {isFailure: false}, 0);
    return id;
  });
  assert.ok(picks.filter(id => id === 's0').length > 180);
});

test('load from other entries moves requests to another server', () => {
  const balancer = createBalancer(2, {policy: 'least-loaded'});
  const report = {queued: 0, slots: 8, isDraining: false, reportAgeMs: 900};
  balancer.observeReport('s0', {...report, running: 8});
  assert.deepEqual(new Set(pickMany(balancer, 6)), new Set(['s1']));
});

test('consecutive failures eject a server, and slow start follows the ejection', () => {
  const balancer = createBalancer(4);
  for (let i = 0; i < 3; i++) balancer.finish('s2', {isFailure: true}, 0);
  assert.equal(balancer.countAvailable(VERSION, 100), 3);
  assert.equal(balancer.countAvailable(VERSION, 2500), 4);
  const shares = [2500, 60_000].map(nowMs => {
    const picks = Array.from({length: 200}, () => {
      const id = balancer.pick(VERSION, nowMs) as string;
      balancer.finish(id, {isFailure: false}, nowMs);
      return id;
    });
    return picks.filter(id => id === 's2').length;
  });
  assert.ok(shares[0] < shares[1], `${shares}`);
});

test('a server much slower than the others is ejected', () => {
  const balancer = createBalancer(4);
  for (let i = 0; i < 20; i++) {
    for (const id of ['s0', 's1', 's2', 's3']) {
      const paceMs = id === 's3' ? 2000 : 100;
      balancer.finish(id, {isFailure: false, tokenLatencyMs: paceMs}, i * 200);
    }
  }
  assert.ok(!pickMany(balancer, 50).includes('s3'));
});

test('after an ejection a server that is still slow is ejected again after few answers, a recovered one is not', () => {
  for (const [paceMs, expectedCount] of [
    [200, 3],
    [20, 4],
  ]) {
    const balancer = createBalancer(4);
    const finish = (id: string, pace: number, nowMs: number) =>
      balancer.finish(id, {isFailure: false, tokenLatencyMs: pace}, nowMs);
    for (let i = 0; i < 20; i++) {
      for (const id of ['s0', 's1', 's2']) finish(id, 20, i * 200);
      finish('s3', 200, i * 200);
    }
    const afterEjectionMs = 60_000;
    assert.equal(balancer.countAvailable(VERSION, afterEjectionMs), 4);
    for (let i = 0; i < 3; i++) finish('s3', paceMs, afterEjectionMs + i);
    assert.equal(
      balancer.countAvailable(VERSION, afterEjectionMs + 10),
      expectedCount,
    );
  }
});

test('at most half of a pool is ejected, and never the last server', () => {
  for (const [count, expectedCount] of [
    [1, 1],
    [4, 2],
    [5, 3],
  ]) {
    const balancer = createBalancer(count);
    for (let round = 0; round < 20; round++) {
      for (let i = 0; i < count; i++) {
        balancer.finish(`s${i}`, {isFailure: true}, 0);
      }
    }
    assert.equal(balancer.countAvailable(VERSION, 1), expectedCount);
  }
});

test('unreachable servers are all ejected, and become available again later', () => {
  const balancer = createBalancer(3);
  const outcome = {isFailure: true, isUnreachable: true};
  for (let i = 0; i < 6; i++) balancer.finish(`s${i % 3}`, outcome, 0);
  assert.equal(balancer.pick(VERSION, 10), undefined);
  assert.equal(balancer.countAvailable(VERSION, 2500), 3);
  balancer.finish('s0', outcome, 2500);
  assert.equal(balancer.countAvailable(VERSION, 2501), 2);
});

test('a retry does not go to a server that was already tried', () => {
  for (const policy of POLICIES) {
    const balancer = createBalancer(2, {policy});
    const excluded = new Set(['s0']);
    assert.equal(
      balancer.pick({...VERSION, excluded, prefixKey: 'p'}, 0),
      's1',
    );
    const all = new Set(['s0', 's1']);
    assert.equal(balancer.pick({...VERSION, excluded: all}, 0), undefined);
  }
});
