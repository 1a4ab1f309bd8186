import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {
  EvidenceTable,
  RulingTable,
  decodeEvidence,
  encodeEvidence,
  type Ruling,
} from '../../src/index.js';

const VERSION = {model: 'quick', version: 'v4'};
const MEMBERS = ['1', '2', '3'].map(incarnation => ({
  host: 'entry-1',
  incarnation,
}));

function collectDeltas(recordCounts: readonly number[]) {
  return recordCounts.flatMap((count, index) => {
    const ledger = EvidenceTable.create(MEMBERS[index]);
    return Array.from({length: count}, () => {
      ledger.record(VERSION, {requests: 1, score: 0.25, checkScore: 0.5});
      return decodeEvidence(encodeEvidence(ledger.createDelta(0)));
    });
  });
}

test('[stop] lost, repeated and reordered deltas and restarts count nothing twice', () => {
  const counts = fc.tuple(...MEMBERS.map(() => fc.integer({min: 1, max: 6})));
  fc.assert(
    fc.property(counts, fc.infiniteStream(fc.nat()), (recordCounts, picks) => {
      const deltas = collectDeltas(recordCounts);
      const reader = EvidenceTable.create({host: 'reader', incarnation: 'r'});
      let previous = 0;
      for (let i = 0; i < 30; i++) {
        reader.merge(deltas[picks.next().value % deltas.length]);
        const {requests} = reader.readTotals(VERSION);
        assert.ok(requests >= previous);
        previous = requests;
      }
      for (const delta of deltas) reader.merge(delta);
      const total = recordCounts.reduce((sum, count) => sum + count, 0);
      assert.equal(reader.readTotals(VERSION).requests, total);
      assert.ok(
        Math.abs(reader.readTotals(VERSION).ratings.sum - total / 4) < 0.01,
      );
    }),
  );
});

test('[stop] a folded run keeps its counts and its late deltas add nothing', () => {
  const deltas = collectDeltas([5, 3, 2]);
  const reader = EvidenceTable.create({host: 'reader', incarnation: 'r'});
  for (const delta of deltas) reader.merge(delta);
  reader.retireMember(MEMBERS[0]);
  for (const delta of deltas) reader.merge(delta);
  assert.equal(reader.readTotals(VERSION).requests, 10);
  assert.equal(reader.createDelta(0).rows.length, 2);
});

test('[stop] rows of an entry reach a third one through a second', () => {
  const [delta] = collectDeltas([1]);
  const second = EvidenceTable.create({host: 'b', incarnation: '1'});
  const third = EvidenceTable.create({host: 'c', incarnation: '1'});
  second.merge(delta);
  third.merge(second.createDelta(0, 'own'));
  assert.equal(third.readTotals(VERSION).requests, 0);
  third.merge(second.createDelta(0, 'all'));
  assert.equal(third.readTotals(VERSION).requests, 1);
});

test('[stop] an entry ignores rows that claim to be its own', () => {
  const [delta] = collectDeltas([1]);
  const ledger = EvidenceTable.create(MEMBERS[0]);
  ledger.merge(delta);
  assert.equal(ledger.readTotals(VERSION).requests, 0);
});

test('[stop] entries that heard the same rulings agree in any order', () => {
  const ruling: fc.Arbitrary<Ruling> = fc.record(
    {
      model: fc.constant('quick'),
      version: fc.constant('v4'),
      term: fc.integer({min: 1, max: 3}),
      state: fc.constantFrom('stopped', 'allowed'),
      decidedBy: fc.constantFrom('a', 'b'),
      reason: fc.constantFrom('errors', 'quality'),
    },
    {noNullPrototype: true},
  );
  const shuffled = fc
    .array(ruling, {minLength: 1})
    .chain(rulings =>
      fc.tuple(
        fc.constant(rulings),
        fc.shuffledSubarray(rulings, {minLength: rulings.length}),
      ),
    );
  fc.assert(
    fc.property(shuffled, ([first, second]) => {
      const [a, b] = [first, second].map(rulings => {
        const ledger = RulingTable.create();
        for (const item of rulings) ledger.merge(item);
        return ledger.find(VERSION);
      });
      assert.deepEqual(a, b);
    }),
  );
});

test('[stop] an operator overrules a stop, and a later stop overrules that', () => {
  const rulings = RulingTable.create();
  const stop = rulings.stop(VERSION, 'entry-1', 'errors');
  rulings.recordOperatorRuling(
    VERSION,
    'allowed',
    'kim',
    'the pool was at fault',
  );
  assert.equal(rulings.isStopped(VERSION), false);
  assert.equal(rulings.merge(stop), false);
  rulings.stop(VERSION, 'entry-2', 'quality');
  assert.equal(rulings.isStopped(VERSION), true);
});
