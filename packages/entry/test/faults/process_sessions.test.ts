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
const V1_WITHDRAWN = `${ALL_V2}withdraw model=quick version=v1 # test: bad\n`;

let deployment: ProcessDeployment;
let entries: readonly EntryProcess[];
let sessionTokens: readonly string[];

before(async () => {
  deployment = await startProcessDeployment();
  entries = deployment.entries;
  const answers = await Promise.all(
    Array.from({length: SESSION_COUNT}, (_, index) =>
      generate(entries[index % entries.length].callerAddress),
    ),
  );
  sessionTokens = answers.map(({session, version, code}) => {
    assert.equal(version, 'quick@v1', code);
    return session ?? '';
  });
});

after(() => deployment.stop());

async function generateInAllSessions(input: GenerateInput = {}) {
  const calls = entries.flatMap(({callerAddress}) =>
    sessionTokens.map(session => generate(callerAddress, {...input, session})),
  );
  return Promise.all(calls);
}

// The cases run in this order: the effect of each one lasts into the next.
const SESSION_CASES = [
  {
    title: '[session] a session keeps its version at every entry',
    prepare: () => Promise.resolve(),
  },
  {
    title:
      '[session] a session keeps its version while a rollout sends all new requests to another version',
    prepare: async () => {
      const outcome = await applyRules(entries[0].peerAddress, {
        content: ALL_V2,
        baseRevision: 1,
      });
      assert.equal(outcome.state, 'accepted', outcome.reason);
      await Promise.all(
        entries.map(({callerAddress}) => waitForReady(callerAddress, 2)),
      );
      const newAnswer = await generate(entries[1].callerAddress);
      assert.equal(newAnswer.version, 'quick@v2');
    },
  },
  {
    title:
      '[session] a session keeps its version after every entry was killed and restarted',
    prepare: async () => {
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

for (const {title, prepare} of SESSION_CASES) {
  test(title, async () => {
    await prepare();
    for (const answer of await generateInAllSessions()) {
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

const INVALID_TOKENS = [
  {
    title:
      '[session] a session token signed with another key is refused at every entry and nothing runs',
    create: () => sign(Buffer.alloc(32, 8).toString('base64'), SESSION),
  },
  {
    title:
      '[session] a session token of another organisation is refused at every entry and nothing runs',
    create: () => sign(SESSION_SECRET, {...SESSION, organisation: 'agency-b'}),
  },
  {
    title:
      '[session] a session token whose end is cut off is refused at every entry and nothing runs',
    create: () => sign(SESSION_SECRET, SESSION).slice(0, -2),
  },
  {
    title:
      '[session] a session token that is arbitrary text is refused at every entry and nothing runs',
    create: () => 'nonsense',
  },
] as const;

for (const {title, create} of INVALID_TOKENS) {
  test(title, async () => {
    const executionsBefore = deployment.countExecutions('quick@v1');
    for (const {callerAddress} of entries) {
      const answer = await generate(callerAddress, {session: create()});
      assert.equal(answer.code, 'invalid_session');
      assert.equal(answer.execution, 'notRun');
    }
    assert.equal(deployment.countExecutions('quick@v1'), executionsBefore);
  });
}

test('[session] a session on a withdrawn version gets version_withdrawn and moves to no other version', async () => {
  const outcome = await applyRules(entries[0].peerAddress, {
    content: V1_WITHDRAWN,
    baseRevision: 2,
  });
  assert.equal(outcome.state, 'accepted', outcome.reason);
  const executionsAtAcceptance = deployment.countExecutions('quick@v1');
  for (const answer of await generateInAllSessions()) {
    assert.equal(answer.code, 'version_withdrawn');
    assert.equal(answer.execution, 'notRun');
  }
  assert.equal(deployment.countExecutions('quick@v1'), executionsAtAcceptance);
});
