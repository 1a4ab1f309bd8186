import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {signSession, type Session} from '@anvilrudder/core';
import type {EntryProcess} from '../support/entry_process.js';
import {applyRules} from '../support/operator.js';
import {
  SESSION_SECRET,
  startProcessDeployment,
  waitForReady,
  type ProcessDeployment,
} from '../support/process_deployment.js';
import {generate, type GenerateInput} from '../support/test_caller.js';
import {TEST_RULES} from '../support/test_deployment.js';

const SESSION_COUNT = 6;
const ALL_V2 = TEST_RULES.replace('share=0%', 'share=100%');
const NO_V1 = `${ALL_V2}withdraw model=quick version=v1 # test: bad\n`;

let deployment: ProcessDeployment;
let entries: readonly EntryProcess[];
let tokens: readonly string[];

before(async () => {
  deployment = await startProcessDeployment();
  entries = deployment.entries;
  const answers = await Promise.all(
    Array.from({length: SESSION_COUNT}, (_, index) =>
      generate(entries[index % entries.length].callerAddress),
    ),
  );
  tokens = answers.map(({session, version, code}) => {
    assert.equal(version, 'quick@v1', code);
    return session ?? '';
  });
});

after(() => deployment.stop());

async function askAll(input: GenerateInput = {}) {
  const calls = entries.flatMap(({callerAddress}) =>
    tokens.map(session => generate(callerAddress, {...input, session})),
  );
  return Promise.all(calls);
}

// The rows build on one another: each leaves its fault behind.
const MOMENTS = [
  {moment: 'at every entry', strike: () => Promise.resolve()},
  {
    moment: 'while a roll-out gives all new work to another version',
    strike: async () => {
      const outcome = await applyRules(entries[0].peerAddress, {
        content: ALL_V2,
        baseRevision: 1,
      });
      assert.equal(outcome.state, 'accepted', outcome.reason);
      await Promise.all(
        entries.map(({callerAddress}) => waitForReady(callerAddress, 2)),
      );
      const fresh = await generate(entries[1].callerAddress);
      assert.equal(fresh.version, 'quick@v2');
    },
  },
  {
    moment: 'after every entry was killed and restarted',
    strike: async () => {
      await Promise.all(entries.map(entry => entry.kill()));
      entries = await Promise.all(
        deployment.entries.map(deployment.restartEntry),
      );
      await Promise.all(
        entries.map(({callerAddress}) => waitForReady(callerAddress, 2)),
      );
    },
  },
] as const;

for (const {moment, strike} of MOMENTS) {
  test(`[session] a session keeps its version ${moment}`, async () => {
    await strike();
    for (const answer of await askAll()) {
      assert.equal(answer.version, 'quick@v1', answer.code);
      assert.ok(answer.isComplete);
    }
  });
}

const SESSION: Session = {
  sessionId: 's-1',
  organisation: 'school-a',
  pins: [{kind: 'chat', steps: ['quick@v1']}],
};

function sign(secretBase64: string, session: Session): string {
  return signSession(session, {
    keys: [{id: 'k1', secret: Buffer.from(secretBase64, 'base64')}],
  });
}

const FORGERIES = [
  {
    what: 'signed with another key',
    create: () => sign(Buffer.alloc(32, 8).toString('base64'), SESSION),
  },
  {
    what: 'of another organisation',
    create: () => sign(SESSION_SECRET, {...SESSION, organisation: 'agency-b'}),
  },
  {
    what: 'with its end cut off',
    create: () => sign(SESSION_SECRET, SESSION).slice(0, -2),
  },
  {what: 'that is no token', create: () => 'nonsense'},
] as const;

for (const {what, create} of FORGERIES) {
  test(`[session] a token ${what} is refused at every entry and runs nothing`, async () => {
    const before = deployment.countExecutions('quick@v1');
    for (const {callerAddress} of entries) {
      const answer = await generate(callerAddress, {session: create()});
      assert.equal(answer.code, 'invalid_session');
      assert.equal(answer.execution, 'notRun');
    }
    assert.equal(deployment.countExecutions('quick@v1'), before);
  });
}

test('[session] the session of a withdrawn version is told so and moves to no other', async () => {
  const outcome = await applyRules(entries[0].peerAddress, {
    content: NO_V1,
    baseRevision: 2,
  });
  assert.equal(outcome.state, 'accepted', outcome.reason);
  const atAcceptance = deployment.countExecutions('quick@v1');
  for (const answer of await askAll()) {
    assert.equal(answer.code, 'version_withdrawn');
    assert.equal(answer.execution, 'notRun');
  }
  assert.equal(deployment.countExecutions('quick@v1'), atAcceptance);
});
