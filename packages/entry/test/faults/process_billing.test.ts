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
const ANSWERS_BEFORE = 60;
const ANSWERS_AFTER = 60;
const SHARD_COUNT = 1;
/** More than the silence after which a peer hands copies off. */
const LEDGER_TIMEOUT_MS = 45_000;

/** Reads every record that was ever written to a batch, deleted or not. */
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

const FAULTS = [
  {
    fault: 'an entry killed in the middle of load',
    strike: async (deployment: ProcessDeployment) => {
      await deployment.entries[0].kill();
    },
    killed: [0],
  },
  {
    fault: 'an entry killed while the store is down',
    strike: async (deployment: ProcessDeployment) => {
      deployment.objects.setFaults({isDown: true});
      await deployment.entries[0].kill();
      deployment.objects.setFaults({isDown: false});
    },
    killed: [0],
  },
  {
    fault: 'answers of ten writes lost',
    strike: async (deployment: ProcessDeployment) => {
      deployment.objects.setFaults({loseWriteAnswers: 10});
      await Promise.resolve();
    },
    killed: [],
  },
] as const;

for (const {fault, strike, killed} of FAULTS) {
  test(`[billing] each whole answer is billed once: ${fault}`, async () => {
    const deployment = await startProcessDeployment();
    try {
      const {entries} = deployment;
      const load = LoadGenerator.start(
        entries.length * WORKERS_PER_ENTRY,
        worker => generate(entries[worker % entries.length].callerAddress),
      );
      await waitUntil(() => load.completeCount >= ANSWERS_BEFORE, 'load runs');
      await strike(deployment);
      const target = load.completeCount + ANSWERS_AFTER;
      await waitUntil(() => load.completeCount >= target, 'load goes on');
      const {answers} = await load.stop();
      const wholeIds = answers
        .filter(answer => answer.isComplete)
        .map(({requestId}) => requestId);
      // An answer whose end was cut off may be billed; no caller knows its id.
      const cutCount = WORKERS_PER_ENTRY * killed.length;
      await waitUntil(
        async () => {
          const billed = await countBilled(deployment);
          return billed >= wholeIds.length;
        },
        'the ledger holds every whole answer',
        LEDGER_TIMEOUT_MS,
      );
      for (const entry of entries) {
        if (!(killed as readonly number[]).includes(entries.indexOf(entry))) {
          assert.equal(await entry.stop(), 0);
        }
      }
      const written = await readWrittenRecords(deployment);
      const ids = new Set(written.map(({requestId}) => requestId));
      assert.equal(ids.size, written.length, 'a request is written twice');
      assert.equal(new Set(wholeIds).size, wholeIds.length);
      const missing = wholeIds.filter(id => !ids.has(id));
      assert.deepEqual(missing, [], 'a whole answer is not billed');
      assert.ok(ids.size - wholeIds.length <= cutCount);
      assert.ok((await countBilled(deployment)) <= ids.size);
    } finally {
      await deployment.stop();
    }
  });
}
