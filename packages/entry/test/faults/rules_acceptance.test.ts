import {MAX_RECENT_CHANGES} from '@anvilrudder/core';
import assert from 'node:assert/strict';
import {afterEach, beforeEach, test} from 'node:test';
import {
  FAST_OPTIONS,
  RulesManagerCluster,
  applyText,
  waitUntil,
  type ClusterEntry,
} from '../control/rules_manager_cluster.js';

const FRESHNESS_MS = FAST_OPTIONS.acceptance.freshnessMs;

let cluster: RulesManagerCluster;
beforeEach(() => {
  cluster = RulesManagerCluster.create();
});
afterEach(() => cluster.stop());

function revisionsInForce(entries: readonly ClusterEntry[]) {
  return entries.map(({rulesManager}) => rulesManager.inForce()?.revision);
}

test('[rules] an accepted change is in force on every member', async () => {
  const entries = await cluster.startMembers(4);
  const outcome = await applyText(entries[0], 'second');
  assert.equal(outcome.state, 'accepted', outcome.reason);
  await waitUntil(() => revisionsInForce(entries).every(r => r === 2));
  assert.deepEqual(
    entries.map(e => e.rulesManager.content()),
    Array(4).fill('second'),
  );
});

test('[rules] a rule file with errors is refused with its findings', async () => {
  const [entry] = await cluster.startMembers(1);
  const outcome = await applyText(entry, 'broken');
  assert.equal(outcome.state, 'refused');
  assert.equal(outcome.findings[0].code, 'unknown_verb');
  assert.deepEqual(revisionsInForce([entry]), [1]);
});

test('[rules] a silent member delays a change and has stopped serving when it is accepted', async () => {
  const entries = await cluster.startMembers(4);
  entries[3].setConnected(false);
  const outcome = await applyText(entries[0], 'second');
  const rulesOfSilentMember = entries[3].rulesManager.inForce();
  assert.equal(outcome.state, 'accepted', outcome.reason);
  assert.deepEqual(outcome.silentHosts, ['h4']);
  assert.equal(rulesOfSilentMember, undefined);
  entries[3].setConnected(true);
  await waitUntil(() => entries[3].rulesManager.inForce()?.revision === 2);
});

test('[rules] a change without a majority is refused with the names of the silent hosts', async () => {
  const entries = await cluster.startMembers(4);
  entries[2].setConnected(false);
  entries[3].setConnected(false);
  const outcome = await applyText(entries[0], 'second');
  assert.equal(outcome.state, 'refused');
  assert.deepEqual(outcome.silentHosts, ['h3', 'h4']);
  assert.deepEqual(revisionsInForce(entries.slice(0, 2)), [1, 1]);
});

test('[rules] an operator can exclude hosts that have stopped', async () => {
  const entries = await cluster.startMembers(4);
  await entries[2].kill();
  entries[3].setConnected(false);
  await waitUntil(() => {
    const silent = entries[0].rulesManager
      .status()
      .members.filter(m => ['h3', 'h4'].includes(m.host));
    return silent.every(m => (m.heardAgeMs ?? Infinity) > FRESHNESS_MS);
  });
  const withoutHosts = ['h3', 'h4'].filter(host =>
    entries[0].rulesManager.status().members.some(m => m.host === host),
  );
  const outcome = await applyText(entries[0], 'second', {withoutHosts});
  assert.equal(outcome.state, 'accepted', outcome.reason);
  const hosts = entries[0].rulesManager.status().members.map(m => m.host);
  assert.deepEqual(hosts, ['h1', 'h2']);
});

test('[rules] a running host cannot be excluded', async () => {
  const entries = await cluster.startMembers(2);
  const outcome = await applyText(entries[0], 'second', {withoutHosts: ['h2']});
  assert.equal(outcome.state, 'refused');
  assert.match(outcome.reason, /h2 is running/);
});

test('[rules] in an outage of the store entries keep serving, except a minority that is cut off', async () => {
  const entries = await cluster.startMembers(4);
  cluster.store.isDown = true;
  entries[3].setConnected(false);
  await waitUntil(() => entries[3].rulesManager.inForce() === undefined);
  await waitUntil(() => entries[0].rulesManager.status().servesBy === 'peers');
  assert.deepEqual(revisionsInForce(entries), [1, 1, 1, undefined]);
  const outcome = await applyText(entries[0], 'second');
  assert.equal(outcome.state, 'refused');
  cluster.store.isDown = false;
  entries[3].setConnected(true);
  await waitUntil(() =>
    entries.every(e => e.rulesManager.status().servesBy === 'store'),
  );
  const repeated = await applyText(entries[0], 'second');
  assert.equal(repeated.state, 'accepted', repeated.reason);
});

test('[rules] of two concurrent changes to one revision one is refused and its reason names the other', async () => {
  const entries = await cluster.startMembers(3);
  const outcomes = await Promise.all([
    applyText(entries[0], 'left', {baseRevision: 1}),
    applyText(entries[1], 'right', {baseRevision: 1}),
  ]);
  const refused = outcomes.filter(outcome => outcome.state === 'refused');
  assert.equal(refused.length, 1);
  assert.match(
    refused[0].reason,
    /revision 2 by operator: to have (left|right)/,
  );
  await waitUntil(() => revisionsInForce(entries).every(r => r === 2));
});

for (const [title, lostResponseCount] of [
  [
    '[rules] a change takes effect once when the store loses 1 write responses',
    1,
  ],
  [
    '[rules] a change takes effect once when the store loses 2 write responses',
    2,
  ],
  [
    '[rules] a change takes effect once when the store loses 4 write responses',
    4,
  ],
] as const) {
  test(title, async () => {
    const entries = await cluster.startMembers(3);
    cluster.store.loseWriteAnswers = lostResponseCount;
    const outcome = await applyText(entries[0], 'second', {changeId: 'c-1'});
    const repeatedOutcome = await applyText(entries[1], 'second', {
      changeId: 'c-1',
    });
    const final = outcome.state === 'accepted' ? outcome : repeatedOutcome;
    assert.equal(final.state, 'accepted', final.reason);
    await waitUntil(() => revisionsInForce(entries).every(r => r === 2));
    assert.equal(
      (await entries[2].rulesManager.findChange('c-1'))?.revision,
      2,
    );
  });
}

test('[rules] the other members decide a change whose coordinator is lost', async () => {
  const entries = await cluster.startMembers(4);
  const {rulesManager} = entries[0];
  const applied = rulesManager
    .apply({
      changeId: 'c-1',
      who: 'operator',
      why: 'w',
      content: 'second',
      baseRevision: 1,
      withoutHosts: [],
    })
    .catch(() => undefined);
  entries[3].setConnected(false);
  await waitUntil(
    () => entries[1].rulesManager.status().pendingChangeId === 'c-1',
  );
  entries[0].setConnected(false);
  await waitUntil(
    () => entries[1].rulesManager.status().pendingChangeId === undefined,
  );
  const outcome = await entries[1].rulesManager.findChange('c-1');
  assert.notEqual(outcome?.state, 'undecided');
  assert.notEqual(outcome, undefined);
  entries[0].setConnected(true);
  entries[3].setConnected(true);
  await applied;
});

test('[rules] a repeated change id gets the outcome of the first change', async () => {
  const entries = await cluster.startMembers(2);
  await applyText(entries[0], 'second', {changeId: 'c-1'});
  const repeatedOutcome = await applyText(entries[1], 'third', {
    changeId: 'c-1',
  });
  assert.equal(repeatedOutcome.state, 'accepted');
  assert.equal(repeatedOutcome.revision, 2);
  await waitUntil(() => entries[1].rulesManager.content() === 'second');
});

test('[rules] the outcome of a change that is no longer in the head is read from its own object', async () => {
  const [entry] = await cluster.startMembers(1);
  for (let index = 0; index <= MAX_RECENT_CHANGES; index++) {
    await applyText(entry, `text ${index}`, {changeId: `c-${index}`});
  }
  assert.equal(cluster.readHead()?.recent.length, MAX_RECENT_CHANGES);
  assert.equal((await entry.rulesManager.findChange('c-0'))?.revision, 2);
});

test('[rules] no entry reverts when the store answers from a stale copy', async () => {
  const entries = await cluster.startMembers(3);
  cluster.store.staleCopy = new Map(cluster.store.objects);
  const outcome = await applyText(entries[0], 'second');
  assert.equal(outcome.state, 'accepted', outcome.reason);
  const lateEntry = await cluster.start('h4');
  await waitUntil(() => lateEntry.rulesManager.inForce()?.revision === 2);
  await waitUntil(() => revisionsInForce(entries).every(r => r === 2));
});

test('[rules] an entry that starts in an outage of the store serves the rules of its peers, or does not serve', async () => {
  const entries = await cluster.startMembers(3);
  await applyText(entries[0], 'second');
  cluster.store.isDown = true;
  const guest = await cluster.start('h4');
  await waitUntil(() => guest.rulesManager.inForce()?.revision === 2);
  assert.equal(guest.rulesManager.status().servesBy, 'peers');
  const isolatedEntry = await cluster.start('h5', {
    listSeedAddresses: () => [],
  });
  assert.equal(await isolatedEntry.rulesManager.waitUntilServing(200), false);
});

test('[rules] a change waits until the grants of an unreachable guest have expired', async () => {
  const entries = await cluster.startMembers(3);
  cluster.store.isDown = true;
  const guest = await cluster.start('h4');
  await waitUntil(() => guest.rulesManager.inForce()?.revision === 1);
  guest.setConnected(false);
  cluster.store.isDown = false;
  const outcome = await applyText(entries[0], 'second');
  const rulesOfGuest = guest.rulesManager.inForce();
  assert.equal(outcome.state, 'accepted', outcome.reason);
  assert.equal(rulesOfGuest, undefined);
});

test('[rules] all entries restarted at once serve the accepted rules', async () => {
  const entries = await cluster.startMembers(3);
  await applyText(entries[0], 'second');
  for (const entry of entries) entry.setConnected(false);
  await Promise.all(entries.map(entry => entry.kill()));
  const successors = await Promise.all(
    entries.map(({member}) => {
      const port = Number(member.peerAddress.split(':')[1]);
      return cluster.start(member.host, {}, port);
    }),
  );
  await waitUntil(() => revisionsInForce(successors).every(r => r === 2));
  const outcome = await applyText(successors[0], 'third');
  assert.equal(outcome.state, 'accepted', outcome.reason);
});

test('[rules] a member that leaves is removed and does not delay later changes', async () => {
  const entries = await cluster.startMembers(3);
  await entries[2].rulesManager.stop();
  await waitUntil(() => entries[0].rulesManager.status().members.length === 2);
  const outcome = await applyText(entries[0], 'second');
  assert.deepEqual(outcome.silentHosts, []);
});

test('[rules] a member that is silent for long is removed', async () => {
  const acceptance = {
    freshnessMs: 300,
    marginMs: 20,
    abortAfterMs: 300,
    coordinatorSilenceMs: 200,
    lostAfterMs: 400,
  };
  const entries = await cluster.startMembers(3, {acceptance});
  entries[2].setConnected(false);
  await waitUntil(() => entries[0].rulesManager.status().members.length === 2);
  entries[2].setConnected(true);
  await waitUntil(() => entries[2].rulesManager.status().members.length === 3);
});

test('[rules] a silent member that is no longer in the host list is removed sooner', async () => {
  const entries = await cluster.startMembers(3, {
    listUnlistedHosts: () => ['h3'],
  });
  entries[2].setConnected(false);
  await waitUntil(() => entries[0].rulesManager.status().members.length === 2);
});

test('[rules] an entry that starts after all others have left serves the accepted rules', async () => {
  const entries = await cluster.startMembers(2);
  await applyText(entries[0], 'second');
  for (const entry of entries) await entry.rulesManager.stop();
  await waitUntil(() => cluster.readHead()?.members.length === 0);
  const lateEntry = await cluster.start('h3', {listSeedAddresses: () => []});
  await waitUntil(() => lateEntry.rulesManager.inForce()?.revision === 2);
});

test('[rules] a rule file larger than one object is stored and loaded in chunks', async () => {
  const entries = await cluster.startMembers(1);
  const content = 'é'.repeat(700_000);
  const outcome = await applyText(entries[0], content, {
    changeId: 'large',
    why: 'a large file',
  });
  assert.equal(outcome.state, 'accepted', outcome.reason);
  for (const object of cluster.store.objects.values()) {
    assert.ok(Buffer.byteLength(object.value) < 1_000_000, object.key);
  }
  entries[0].setConnected(false);
  const lateEntry = await cluster.start('h2', {listSeedAddresses: () => []});
  await waitUntil(() => lateEntry.rulesManager.content() === content);
});

test('[rules] a reason that is too long for the head is refused', async () => {
  const [entry] = await cluster.startMembers(1);
  const outcome = await applyText(entry, 'second', {why: 'y'.repeat(501)});
  assert.equal(outcome.state, 'refused');
  assert.match(outcome.reason, /at most 100 and 500 characters/);
});
