import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {ChunkQueue} from '../../src/http/chunk_queue.js';

const IGNORED_SOURCE = {
  pause: () => undefined,
  resume: () => undefined,
  cancel: () => undefined,
};
const SEED = 47;
const MAX_CHUNKS_OF_16_KIB = 5;

// Guards against small chunks whose objects take the memory that their bytes don't.
test('small chunks that wait are joined', async () => {
  const queue = ChunkQueue.create(IGNORED_SOURCE);
  for (let count = 0; count < 16_384; count += 1) queue.push(Buffer.from('x'));
  queue.finish();
  const chunks: Buffer[] = [];
  for await (const chunk of queue) chunks.push(chunk);
  assert.ok(chunks.length <= MAX_CHUNKS_OF_16_KIB, `${chunks.length} chunks`);
  assert.equal(Buffer.concat(chunks).length, 16_384);
});

test('a queue returns the bytes that were pushed, in order, whenever they are read', async () => {
  const step = fc.oneof(
    fc.uint8Array({minLength: 1, maxLength: 6000}).map(bytes => ({bytes})),
    fc.constant('read' as const),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(step, {maxLength: 40}), async steps => {
      const queue = ChunkQueue.create(IGNORED_SOURCE);
      const pushed: Buffer[] = [];
      const reads: Array<Promise<IteratorResult<Buffer, undefined>>> = [];
      let waiting = 0;
      for (const next of steps) {
        if (next === 'read') {
          // The queue has a single consumer.
          if (waiting > 0) continue;
          waiting += 1;
          reads.push(queue.next().finally(() => (waiting -= 1)));
        } else {
          const chunk = Buffer.from(next.bytes);
          pushed.push(Buffer.from(chunk));
          queue.push(chunk);
        }
        await Promise.resolve();
        await Promise.resolve();
      }
      queue.finish();
      const results = await Promise.all(reads);
      const chunks = results.flatMap(({value}) => (value ? [value] : []));
      for await (const chunk of queue) chunks.push(chunk);
      assert.deepEqual(Buffer.concat(chunks), Buffer.concat(pushed));
    }),
    {seed: SEED, numRuns: 200},
  );
});
