import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  CrashSuspects,
  isTrialHost,
  listSuspectIds,
  type PromptPart,
} from '../../src/index.js';

const SHARED_IDS = ['system', 'board', 'crashing'];
const PARTS: readonly PromptPart[] = [...SHARED_IDS, 'last'].map(id => ({
  id,
  tokens: 100,
}));

function listPartIds(parts: readonly PromptPart[]): readonly string[] {
  return listSuspectIds('digest', parts).slice(1);
}

function crash(
  suspects: CrashSuspects,
  index: number,
  nowMs: number,
  suspectIds: readonly string[] = SHARED_IDS,
  waitedMs = 400,
) {
  const serverRun = `i-${index}`;
  return suspects.recordCrash(
    {serverRun, suspectIds, waitedMs, hasBegun: false},
    nowMs,
  );
}

test('a part that crashes server after server is quarantined, and the parts that share its requests are not', () => {
  const suspects = CrashSuspects.create();
  let nowMs = 0;
  for (let index = 0; index < 3; index += 1) {
    suspects.recordAnswer(['system', 'board']);
    assert.equal(
      suspects.findQuarantined(listPartIds(PARTS), nowMs),
      undefined,
    );
    nowMs += 1000;
    crash(suspects, index, nowMs);
  }
  assert.equal(
    suspects.findQuarantined(listPartIds(PARTS), nowMs)?.suspectId,
    'crashing',
  );
  const sound = PARTS.filter(({id}) => id !== 'crashing');
  assert.equal(suspects.findQuarantined(listPartIds(sound), nowMs), undefined);
});

test('parts that were only seen together are quarantined together, until one of them is cleared', () => {
  const suspects = CrashSuspects.create();
  for (let index = 0; index < 3; index += 1)
    crash(suspects, index, index * 1000);
  assert.notEqual(
    suspects.findQuarantined(listPartIds(PARTS), 3000),
    undefined,
  );
  const sound = PARTS.filter(({id}) => id !== 'crashing');
  assert.equal(suspects.findQuarantined(listPartIds(sound), 3000), undefined);
  suspects.recordAnswer(['system', 'board']);
  const crashing = PARTS.filter(({id}) => id !== 'board');
  const found = suspects.findQuarantined(listPartIds(crashing), 3000);
  assert.deepEqual([found?.suspectId, found?.companionIds], ['crashing', []]);
});

test('a part that crashes servers with other parts than before is quarantined by itself', () => {
  const suspects = CrashSuspects.create();
  for (const [index, other] of ['a', 'b', 'c'].entries())
    crash(suspects, index, index * 1000, [other, 'crashing']);
  const parts = ['d', 'crashing', 'last'].map(id => ({id, tokens: 1}));
  assert.equal(
    suspects.findQuarantined(listPartIds(parts), 3000)?.suspectId,
    'crashing',
  );
});

test('the last part of a prompt is never a suspect', () => {
  const suspects = CrashSuspects.create();
  for (let index = 0; index < 9; index += 1)
    crash(suspects, index, index * 1000, ['last']);
  assert.equal(suspects.findQuarantined(listPartIds(PARTS), 9000), undefined);
});

test('servers that crash at the same moment do not make a popular part a suspect', () => {
  const suspects = CrashSuspects.create();
  for (let index = 0; index < 40; index += 1) crash(suspects, index, index * 5);
  assert.deepEqual(suspects.listQuarantined(200), []);
});

test('a crash that several hosts report counts once', () => {
  const suspects = CrashSuspects.create();
  for (let report = 0; report < 8; report += 1)
    crash(suspects, 1, report * 100, SHARED_IDS, 10);
  assert.deepEqual(suspects.listQuarantined(800), []);
});

test('crashes of servers to which one request is sent one after the other count each', () => {
  const suspects = CrashSuspects.create();
  for (let index = 0; index < 3; index += 1)
    crash(suspects, index, index * 30, SHARED_IDS, 20);
  assert.equal(suspects.listQuarantined(60).length, SHARED_IDS.length);
});

test('an answer clears a part', () => {
  const suspects = CrashSuspects.create();
  for (const index of [0, 1]) crash(suspects, index, index * 1000);
  assert.deepEqual(suspects.recordAnswer(['crashing', 'other']), ['crashing']);
  for (const index of [2, 3]) crash(suspects, index, index * 1000);
  assert.equal(
    suspects
      .listQuarantined(3000)
      .some(({suspectId}) => suspectId === 'crashing'),
    false,
  );
});

test('a part that servers have answered on is quarantined late and briefly', () => {
  const suspects = CrashSuspects.create();
  suspects.recordAnswer(['board']);
  for (let index = 0; index < 5; index += 1)
    crash(suspects, index, index * 1000, ['board']);
  assert.deepEqual(suspects.listQuarantined(5000), []);
  crash(suspects, 5, 5000, ['board']);
  assert.equal(suspects.listQuarantined(5000).length, 1);
  assert.deepEqual(suspects.listQuarantined(16_000), []);
});

test('the quarantine of another host is adopted once', () => {
  const suspects = CrashSuspects.create();
  const part = {suspectId: 'crashing', companionIds: [], remainingMs: 5000};
  assert.equal(suspects.adopt(part, 0), true);
  assert.equal(suspects.adopt(part, 100), false);
  assert.equal(
    suspects.findQuarantined(listPartIds(PARTS), 4000)?.remainingMs,
    1000,
  );
  assert.equal(suspects.findQuarantined(listPartIds(PARTS), 5000), undefined);
  crash(suspects, 1, 6000, ['crashing']);
  assert.notEqual(
    suspects.findQuarantined(listPartIds(PARTS), 6000),
    undefined,
  );
});

test('a part that crashes a server again behind its quarantine is quarantined at once', () => {
  const suspects = CrashSuspects.create();
  for (let index = 0; index < 3; index += 1)
    crash(suspects, index, index * 1000, ['crashing']);
  const [{remainingMs}] = suspects.listQuarantined(2000);
  const endMs = 2000 + remainingMs;
  assert.deepEqual(suspects.listQuarantined(endMs), []);
  crash(suspects, 9, endMs + 1000, ['crashing']);
  const [next] = suspects.listQuarantined(endMs + 1000);
  assert.equal(next.remainingMs, 2 * remainingMs);
});

test('the number of remembered parts is bounded', () => {
  const suspects = CrashSuspects.create();
  for (let index = 0; index < 12_000; index += 1) {
    crash(suspects, index, index, [`part-${index}`]);
    suspects.recordAnswer([`answered-${index}`]);
  }
  assert.ok(suspects.size <= 5000, `${suspects.size} parts`);
});

const REQUEST_IDS = listSuspectIds('digest', []);

test('a request that crashes two servers, one after the other, is quarantined', () => {
  const suspects = CrashSuspects.create();
  crash(suspects, 0, 1000, REQUEST_IDS);
  assert.equal(suspects.findQuarantined(REQUEST_IDS, 1000), undefined);
  crash(suspects, 1, 1100, REQUEST_IDS, 90);
  const found = suspects.findQuarantined(REQUEST_IDS, 1100);
  assert.equal(found?.suspectId, REQUEST_IDS[0]);
  const other = listSuspectIds('other', []);
  assert.equal(suspects.findQuarantined(other, 1100), undefined);
});

test('a request is not quarantined because a prompt part of it is sound, and a part not because of a request', () => {
  const suspects = CrashSuspects.create();
  const ids = listSuspectIds('digest', PARTS);
  suspects.recordAnswer(SHARED_IDS);
  crash(suspects, 0, 1000, ids);
  crash(suspects, 1, 2000, ids);
  assert.notEqual(suspects.findQuarantined(ids, 2000), undefined);
  const sameParts = listSuspectIds('other', PARTS);
  assert.equal(suspects.findQuarantined(sameParts, 2000), undefined);
  assert.equal(suspects.findOnTrial(sameParts, 2000), undefined);
});

test('a request whose answers had begun is quarantined by its third crash', () => {
  const suspects = CrashSuspects.create();
  for (let index = 0; index < 3; index += 1) {
    assert.equal(
      suspects.findQuarantined(REQUEST_IDS, index * 1000),
      undefined,
    );
    const serverRun = `i-${index}`;
    const begun = {suspectIds: REQUEST_IDS, waitedMs: 400, hasBegun: true};
    suspects.recordCrash({serverRun, ...begun}, index * 1000);
  }
  assert.notEqual(suspects.findQuarantined(REQUEST_IDS, 2000), undefined);
});

test('a request that has crashed a server is on trial until it is answered', () => {
  const suspects = CrashSuspects.create();
  assert.equal(suspects.findOnTrial(REQUEST_IDS, 0), undefined);
  crash(suspects, 0, 1000, REQUEST_IDS);
  assert.equal(suspects.findOnTrial(REQUEST_IDS, 1000), REQUEST_IDS[0]);
  suspects.recordAnswer(REQUEST_IDS);
  assert.equal(suspects.findOnTrial(REQUEST_IDS, 1000), undefined);
});

test('a part is on trial behind its quarantine only', () => {
  const suspects = CrashSuspects.create();
  crash(suspects, 0, 1000, ['crashing']);
  assert.equal(suspects.findOnTrial(['crashing'], 1000), undefined);
  crash(suspects, 1, 2000, ['crashing']);
  crash(suspects, 2, 3000, ['crashing']);
  const [{remainingMs}] = suspects.listQuarantined(3000);
  assert.equal(
    suspects.findOnTrial(['crashing'], 3001 + remainingMs),
    'crashing',
  );
});

test('a request that another host has seen answered is no longer quarantined', () => {
  const suspects = CrashSuspects.create();
  crash(suspects, 0, 1000, REQUEST_IDS);
  crash(suspects, 1, 2000, REQUEST_IDS);
  suspects.recordKnownSound(REQUEST_IDS);
  assert.equal(suspects.findQuarantined(REQUEST_IDS, 2000), undefined);
  assert.equal(suspects.findOnTrial(REQUEST_IDS, 2000), undefined);
  for (let index = 2; index < 6; index += 1)
    crash(suspects, index, (index + 1) * 1000, REQUEST_IDS);
  assert.notEqual(suspects.findQuarantined(REQUEST_IDS, 6000), undefined);
  assert.deepEqual(suspects.listKnownSound(REQUEST_IDS), []);
});

test('requests that each crash one server do not displace a quarantined one', () => {
  const suspects = CrashSuspects.create();
  crash(suspects, 0, 1000, REQUEST_IDS);
  crash(suspects, 1, 2000, REQUEST_IDS);
  for (let index = 0; index < 12_000; index += 1)
    crash(suspects, index + 2, 3000, listSuspectIds(`flood-${index}`, []));
  assert.notEqual(suspects.findQuarantined(REQUEST_IDS, 3000), undefined);
  assert.ok(suspects.size <= 5000);
});

test('hosts that know each other agree on one trial host', () => {
  const addresses = Array.from({length: 20}, (_, index) => `10.0.0.${index}:1`);
  const [suspectId] = REQUEST_IDS;
  const trialHosts = addresses.filter(address =>
    isTrialHost({
      suspectId,
      address,
      otherAddresses: addresses.filter(other => other !== address),
    }),
  );
  assert.equal(trialHosts.length, 1);
});
