import assert from 'node:assert/strict';
import {mock, test} from 'node:test';
import {SILENT_LOGGER} from '@anvilrudder/observability';
import {BackendDirectory} from '../../src/backends/backend_directory.js';
import {watchBackends} from '../../src/backends/watch_backends.js';

const POLL_MS = 1000;

async function countReads(random: number, afterMs: number): Promise<number> {
  mock.timers.enable({apis: ['setTimeout']});
  let readCount = 0;
  const stop = await watchBackends({
    directory: BackendDirectory.create(),
    logger: SILENT_LOGGER,
    pollMs: POLL_MS,
    random: () => random,
    reader: {
      readHosts: async () => {
        readCount += 1;
        return [];
      },
      readLoad: async () => assert.fail('unexpected read of a load report'),
    },
  });
  mock.timers.tick(afterMs);
  stop();
  mock.timers.reset();
  return readCount;
}

test('the delay between reads of the host list is 0.8 to 1.2 times the poll interval', async () => {
  assert.equal(await countReads(0, 0.79 * POLL_MS), 1);
  assert.equal(await countReads(0, 0.81 * POLL_MS), 2);
  assert.equal(await countReads(1, 1.19 * POLL_MS), 1);
  assert.equal(await countReads(1, 1.21 * POLL_MS), 2);
});
