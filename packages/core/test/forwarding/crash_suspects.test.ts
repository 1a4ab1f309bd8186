import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CrashSuspects, type PromptPart} from '../../src/index.js';

const SHARED_IDS = ['system', 'board', 'poison'];
const PARTS: readonly PromptPart[] = [...SHARED_IDS, 'last'].map(id => ({
  id,
  tokens: 100,
}));

function crash(
  suspects: CrashSuspects,
  index: number,
  nowMs: number,
  partIds = SHARED_IDS,
  waitedMs = 400,
) {
  const serverRun = `i-${index}`;
  return suspects.recordCrash({serverRun, partIds, waitedMs}, nowMs);
}

test('a part that crashes server after server is quarantined, and the parts that share its requests are not', () => {
  const suspects = CrashSuspects.create();
  let nowMs = 0;
  for (let index = 0; index < 3; index += 1) {
    suspects.recordAnswer(['system', 'board']);
    assert.equal(suspects.findQuarantined(PARTS, nowMs), undefined);
    nowMs += 1000;
    crash(suspects, index, nowMs);
  }
  assert.equal(suspects.findQuarantined(PARTS, nowMs)?.partId, 'poison');
  const sound = PARTS.filter(({id}) => id !== 'poison');
  assert.equal(suspects.findQuarantined(sound, nowMs), undefined);
});

test('parts that were only seen together are quarantined together, until one of them is cleared', () => {
  const suspects = CrashSuspects.create();
  for (let index = 0; index < 3; index += 1)
    crash(suspects, index, index * 1000);
  assert.notEqual(suspects.findQuarantined(PARTS, 3000), undefined);
  const sound = PARTS.filter(({id}) => id !== 'poison');
  assert.equal(suspects.findQuarantined(sound, 3000), undefined);
  suspects.recordAnswer(['system', 'board']);
  const poisoned = PARTS.filter(({id}) => id !== 'board');
  const found = suspects.findQuarantined(poisoned, 3000);
  assert.deepEqual([found?.partId, found?.companionIds], ['poison', []]);
});

test('a part that crashes servers with other parts than before is quarantined by itself', () => {
  const suspects = CrashSuspects.create();
  for (const [index, other] of ['a', 'b', 'c'].entries())
    crash(suspects, index, index * 1000, [other, 'poison']);
  const parts = ['d', 'poison', 'last'].map(id => ({id, tokens: 1}));
  assert.equal(suspects.findQuarantined(parts, 3000)?.partId, 'poison');
});

test('the last part of a prompt is never a suspect', () => {
  const suspects = CrashSuspects.create();
  for (let index = 0; index < 9; index += 1)
    crash(suspects, index, index * 1000, ['last']);
  assert.equal(suspects.findQuarantined(PARTS, 9000), undefined);
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
  assert.deepEqual(suspects.recordAnswer(['poison', 'other']), ['poison']);
  for (const index of [2, 3]) crash(suspects, index, index * 1000);
  assert.equal(
    suspects.listQuarantined(3000).some(({partId}) => partId === 'poison'),
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
  const part = {partId: 'poison', companionIds: [], remainingMs: 5000};
  assert.equal(suspects.adopt(part, 0), true);
  assert.equal(suspects.adopt(part, 100), false);
  assert.equal(suspects.findQuarantined(PARTS, 4000)?.remainingMs, 1000);
  assert.equal(suspects.findQuarantined(PARTS, 5000), undefined);
  crash(suspects, 1, 6000, ['poison']);
  assert.notEqual(suspects.findQuarantined(PARTS, 6000), undefined);
});

test('a part that crashes a server again behind its quarantine is quarantined at once', () => {
  const suspects = CrashSuspects.create();
  for (let index = 0; index < 3; index += 1)
    crash(suspects, index, index * 1000, ['poison']);
  const [{remainingMs}] = suspects.listQuarantined(2000);
  const endMs = 2000 + remainingMs;
  assert.deepEqual(suspects.listQuarantined(endMs), []);
  crash(suspects, 9, endMs + 1000, ['poison']);
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
