import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  BILLING_BATCH_PREFIX,
  parseBatchLink,
  type BillingRecord,
  type UsageTotals,
} from '@anvilrudder/core';
import {request} from 'undici';
import {readUsage} from '../../src/control/billing/usage_report.js';
import {LoadGenerator} from '../support/load_generator.js';
import {
  startProcessDeployment,
  type ProcessDeployment,
} from '../support/process_deployment.js';
import {generate} from '../support/test_caller.js';
import {waitUntil} from '../support/test_deployment.js';

const WORKERS_PER_ENTRY = 4;
const ANSWERS_BEFORE_FAULT = 60;
const ANSWERS_AFTER_FAULT = 60;
const SHARD_COUNT = 1;
/** Exceeds the silence after which peers hand off the copies of an entry. */
const BILLING_TIMEOUT_MS = 45_000;

/** Reads all records ever written to batches, including deleted ones. */
async function readWrittenRecords(
  deployment: ProcessDeployment,
): Promise<readonly BillingRecord[]> {
  const query = `prefix=${BILLING_BATCH_PREFIX}&after=0&timeoutMs=0`;
  const url = `http://${deployment.objects.address}/watch?${query}`;
  const {body} = await request(url);
  const {events} = (await body.json()) as {
    readonly events: ReadonlyArray<{readonly value: string | null}>;
  };
  return events.flatMap(({value}) =>
    value === null ? [] : parseBatchLink(value).records,
  );
}

async function countBilled(deployment: ProcessDeployment): Promise<number> {
  const usage = await readUsage(deployment.store, SHARD_COUNT);
  return Object.values(usage)
    .map(({requestCount}: UsageTotals) => requestCount)
    .reduce((sum, count) => sum + count, 0);
}

const CASES = [
  {
    fault: 'an entry killed under load',
    injectFault: async (deployment: ProcessDeployment) => {
      await deployment.entries[0].kill();
    },
    killedEntries: [0],
  },
  {
    fault: 'an entry killed while the store is down',
    injectFault: async (deployment: ProcessDeployment) => {
      deployment.objects.setFaults({isDown: true});
      await deployment.entries[0].kill();
      deployment.objects.setFaults({isDown: false});
    },
    killedEntries: [0],
  },
  {
    fault: 'the responses of ten writes lost',
    injectFault: async (deployment: ProcessDeployment) => {
      deployment.objects.setFaults({loseWriteAnswers: 10});
      await Promise.resolve();
    },
    killedEntries: [],
  },
] as const;

for (const {fault, injectFault, killedEntries} of CASES) {
  test(`[billing] each complete answer is billed once: ${fault}`, async () => {
    const deployment = await startProcessDeployment();
    try {
      const {entries} = deployment;
      const load = LoadGenerator.start(
        entries.length * WORKERS_PER_ENTRY,
        worker => generate(entries[worker % entries.length].callerAddress),
      );
      await waitUntil(
        () => load.completeCount >= ANSWERS_BEFORE_FAULT,
        'the load runs',
      );
      await injectFault(deployment);
      const target = load.completeCount + ANSWERS_AFTER_FAULT;
      await waitUntil(() => load.completeCount >= target, 'the load continues');
      const {answers} = await load.stop();
      const completeIds = answers
        .filter(answer => answer.isComplete)
        .map(({requestId}) => requestId);
      // A cut-off answer may be billed too, but no caller has its request id.
      const maxCutCount = WORKERS_PER_ENTRY * killedEntries.length;
      await waitUntil(
        async () => {
          const billed = await countBilled(deployment);
          return billed >= completeIds.length;
        },
        'every complete answer is billed',
        BILLING_TIMEOUT_MS,
      );
      for (const entry of entries) {
        if (
          !(killedEntries as readonly number[]).includes(entries.indexOf(entry))
        ) {
          assert.equal(await entry.stop(), 0);
        }
      }
      const written = await readWrittenRecords(deployment);
      const ids = new Set(written.map(({requestId}) => requestId));
      assert.equal(ids.size, written.length, 'a request is written twice');
      assert.equal(new Set(completeIds).size, completeIds.length);
      const missing = completeIds.filter(id => !ids.has(id));
      assert.deepEqual(missing, [], 'a complete answer is not billed');
      assert.ok(ids.size - completeIds.length <= maxCutCount);
      assert.ok((await countBilled(deployment)) <= ids.size);
    } finally {
      await deployment.stop();
    }
  });
}
