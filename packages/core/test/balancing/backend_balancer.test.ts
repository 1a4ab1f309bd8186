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
  test(`[leaving] no policy picks a server that leaves by word of ${source}`, () => {
    for (const policy of POLICIES) {
      const balancer = createBalancer(3, {policy});
      balancer.markLeaving('s1', source, true);
      assert.ok(!pickMany(balancer, 100, 'p').includes('s1'), policy);
    }
  });
}

test('[leaving] one source that takes its word back does not undo another', () => {
  const balancer = createBalancer(2);
  balancer.markLeaving('s1', 'hostList', true);
  balancer.markLeaving('s1', 'server', true);
  balancer.markLeaving('s1', 'server', false);
  assert.ok(!pickMany(balancer, 50).includes('s1'));
});

test('[leaving] an update of the host list keeps the word of others', () => {
  const balancer = createBalancer(2);
  balancer.markLeaving('s1', 'peer', true);
  balancer.updateServers(createServers(2));
  assert.ok(!pickMany(balancer, 50).includes('s1'));
});

test('equal prefixes share a server until it is loaded over the bound', () => {
  const balancer = createBalancer(6);
  const light = pickMany(balancer, 2, 'class-7');
  assert.equal(new Set(light).size, 1);
  assert.ok(new Set(pickMany(balancer, 60, 'class-7')).size > 3);
});

test('without a prefix, work prefers its own failure domain at equal load', () => {
  const balancer = createBalancer(3, {crossingPenalty: 0.5});
  const picks = Array.from({length: 300}, () => {
    const id = balancer.pick(VERSION, 0) as string;
    balancer.finish(id, {isFailure: false}, 0);
    return id;
  });
  assert.ok(picks.filter(id => id === 's0').length > 180);
});

test('load that other entries cause moves work elsewhere', () => {
  const balancer = createBalancer(2, {policy: 'least-loaded'});
  const report = {queued: 0, slots: 8, isDraining: false, reportAgeMs: 900};
  balancer.observeReport('s0', {...report, running: 8});
  assert.deepEqual(new Set(pickMany(balancer, 6)), new Set(['s1']));
});

test('failures in a row take a server out, and it comes back slowly', () => {
  const balancer = createBalancer(4);
  for (let i = 0; i < 3; i++) balancer.finish('s2', {isFailure: true}, 0);
  assert.equal(balancer.countAvailable(VERSION, 100), 3);
  assert.equal(balancer.countAvailable(VERSION, 2500), 4);
  const shares = [2500, 60_000].map(nowMs => {
    const fresh = Array.from({length: 200}, () => {
      const id = balancer.pick(VERSION, nowMs) as string;
      balancer.finish(id, {isFailure: false}, nowMs);
      return id;
    });
    return fresh.filter(id => id === 's2').length;
  });
  assert.ok(shares[0] < shares[1], `${shares}`);
});

test('a server far slower than the others is taken out', () => {
  const balancer = createBalancer(4);
  for (let i = 0; i < 20; i++) {
    for (const id of ['s0', 's1', 's2', 's3']) {
      const paceMs = id === 's3' ? 2000 : 100;
      balancer.finish(id, {isFailure: false, tokenLatencyMs: paceMs}, i * 200);
    }
  }
  assert.ok(!pickMany(balancer, 50).includes('s3'));
});

test('a slow server that returns is taken out again after few answers, a mended one is not', () => {
  for (const [paceMs, left] of [
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
    const backMs = 60_000;
    assert.equal(balancer.countAvailable(VERSION, backMs), 4);
    for (let i = 0; i < 3; i++) finish('s3', paceMs, backMs + i);
    assert.equal(balancer.countAvailable(VERSION, backMs + 10), left);
  }
});

test('at most half of a pool is taken out, and never the last server', () => {
  for (const [count, left] of [
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
    assert.equal(balancer.countAvailable(VERSION, 1), left);
  }
});

test('servers that cannot be reached are all taken out, and tried again later', () => {
  const balancer = createBalancer(3);
  const outcome = {isFailure: true, isUnreachable: true};
  for (let i = 0; i < 6; i++) balancer.finish(`s${i % 3}`, outcome, 0);
  assert.equal(balancer.pick(VERSION, 10), undefined);
  assert.equal(balancer.countAvailable(VERSION, 2500), 3);
  balancer.finish('s0', outcome, 2500);
  assert.equal(balancer.countAvailable(VERSION, 2501), 2);
});

test('a retry does not go to a server that was tried', () => {
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
