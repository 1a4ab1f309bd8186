import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {setImmediate as endTurn} from 'node:timers/promises';
import {ReadTurns, type TurnReader} from '../../src/http/read_turns.js';

/** A reader whose every read takes the same time, up to a number of reads. */
class PlayedReader implements TurnReader {
  readCount = 0;

  constructor(
    private readonly turns: ReadTurns,
    private readonly advance: (ms: number) => void,
    private readonly readMs: number,
    private readonly maxReads: number,
  ) {}

  readOn(): void {
    while (this.readCount < this.maxReads && this.turns.tryBegin(this)) {
      this.readCount += 1;
      this.advance(this.readMs);
      this.turns.finish();
    }
  }
}

function mockClock(t: TestContext): (ms: number) => void {
  let nowMs = 0;
  t.mock.method(performance, 'now', () => nowMs);
  return ms => {
    nowMs += ms;
  };
}

// Guards against one connection that takes the event loop for seconds.
test('a reader whose bytes take long to parse reads on in later turns', async t => {
  const advance = mockClock(t);
  const turns = ReadTurns.create();
  const dear = new PlayedReader(turns, advance, 1, 12);
  dear.readOn();
  assert.equal(dear.readCount, 5);
  await endTurn();
  assert.equal(dear.readCount, 10);
  await endTurn();
  assert.equal(dear.readCount, 12);
});

test('the reader of the least recent cost reads on first', async t => {
  const advance = mockClock(t);
  const turns = ReadTurns.create();
  const dear = new PlayedReader(turns, advance, 6, 5);
  const cheap = new PlayedReader(turns, advance, 0.1, 3);
  dear.readOn();
  cheap.readOn();
  assert.deepEqual([dear.readCount, cheap.readCount], [1, 0]);
  await endTurn();
  assert.deepEqual([dear.readCount, cheap.readCount], [2, 3]);
});
