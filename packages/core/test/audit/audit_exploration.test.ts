import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  appendAudit,
  type AuditAppend,
  type AuditTail,
} from '../../src/audit/audit_protocol.js';
import {
  normalizeAuditRecord,
  parseAuditObject,
  type AuditRecord,
} from '../../src/audit/audit_record.js';
import type {StoreReply, StoreStep} from '../../src/steps/store_step.js';
import {
  EMPTY_STORE,
  exploreStates,
  applyLateWrites,
  listStoreBranches,
  injectFaults,
  type ProtocolVariant,
  type Exploration,
  type StoreModel,
} from '../support/protocol_explorer.js';

type Process = Generator<StoreStep, unknown, StoreReply>;
type Variant = ProtocolVariant<StoreStep, StoreReply>;

const EMPTY_TAIL: AuditTail = {nextSequence: 1, sequenceById: new Map()};

function createRecord(id: string): AuditRecord {
  return {
    id,
    timeMs: 0,
    host: 'h',
    action: 'rules.apply',
    who: 'w',
    why: 'y',
    beforeRevision: 0,
    afterRevision: 1,
    outcome: 'accepted',
  };
}

/** Appends batches one after another, each twice if it fails at first. */
function* runWriter(batches: ReadonlyArray<readonly string[]>): Process {
  let tail = EMPTY_TAIL;
  const acknowledged: string[] = [];
  for (const ids of batches) {
    for (let attempt = 0; attempt < 2; attempt++) {
      const records = ids.map(createRecord);
      const append: AuditAppend = yield* appendAudit(records, tail);
      tail = append.tail;
      if (append.status === 'failed') continue;
      acknowledged.push(...ids);
      break;
    }
  }
  return acknowledged;
}

function checkTrail(store: StoreModel, results: readonly unknown[]): void {
  const entries = store.objects.flatMap(o => parseAuditObject(o.key, o.value));
  const ids = entries.map(entry => entry.id);
  assert.equal(new Set(ids).size, ids.length, 'recorded twice');
  entries.forEach((entry, i) => {
    assert.equal(entry.sequence, i + 1, 'a gap in the trail');
  });
  for (const result of results) {
    if (!Array.isArray(result)) continue;
    for (const id of result as readonly string[]) {
      assert.ok(ids.includes(id), 'an acknowledged record is lost');
    }
  }
}

function createExploration(
  writers: ReadonlyArray<ReadonlyArray<readonly string[]>>,
  maxFaults: number,
  variant: Variant = {},
): Exploration<StoreModel, StoreStep, StoreReply> {
  return {
    world: EMPTY_STORE,
    actors: writers.map((batches, i) => ({
      name: `writer ${i}`,
      start: () => injectFaults(runWriter(batches), variant),
    })),
    maxFaults,
    listBranches: listStoreBranches,
    listWorldChanges: applyLateWrites,
    check: checkTrail,
  };
}

const WRITERS = [
  [['a'], ['b', 'shared']],
  [['shared'], ['c']],
];

test('two writers record each change once in every state', t => {
  const count = exploreStates(createExploration(WRITERS, 2));
  t.diagnostic(`${count} states`);
  assert.ok(count > 1000, `${count} states`);
});

const BROKEN_VARIANTS: Readonly<Record<string, Variant>> = {
  'an append without its condition': {
    rewriteStep: step =>
      step.kind === 'put' ? {...step, condition: {kind: 'any'}} : step,
  },
  'a lost answer taken for recorded': {
    rewriteReply: (step, reply) =>
      step.kind === 'put' && reply.kind === 'failed'
        ? {kind: 'write', result: {status: 'written', version: 0}}
        : reply,
  },
  'a conflict whose records are not compared': {
    rewriteReply: (step, reply) =>
      step.kind === 'put' &&
      reply.kind === 'write' &&
      reply.result.status === 'conflict' &&
      reply.result.current !== undefined
        ? {
            kind: 'write',
            result: {
              status: 'conflict',
              current: {
                ...reply.result.current,
                value: reply.result.current.value.replace(/"id":"/g, '"id":"x'),
              },
            },
          }
        : reply,
  },
};

for (const [name, variant] of Object.entries(BROKEN_VARIANTS)) {
  test(`the exploration finds ${name}`, () => {
    assert.throws(
      () => exploreStates(createExploration(WRITERS, 2, variant)),
      /recorded twice|a gap|is lost/,
    );
  });
}

test('a record keeps its known fields only, within bounds', () => {
  const record = {...createRecord('a'), why: 'x'.repeat(999), apiKey: 'k'};
  const normalized = normalizeAuditRecord(record);
  assert.equal(normalized.why.length, 500);
  assert.ok(!('apiKey' in normalized));
});
