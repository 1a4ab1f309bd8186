import {createRandom, type AuditRecord} from '@anvilrudder/core';
import {
  createAuditTrail,
  createClaimManager,
  createLeaseManager,
} from '@anvilrudder/entry/control';
import type {CapacityCommand, CapacityOptions, Row} from './capacity_report.js';
import {CountingMemoryStore} from './counting_memory_store.js';
import {countCalls, readCpuUs} from './usage_meter.js';

const CONFIRMATION_COUNT = 200;
const LEASE_ATTEMPT_COUNT = 100;
const AUDIT_COUNT = 1000;
const WRITER_COUNTS: readonly number[] = [1, 4];
const SMALL_COUNT = 5;

async function measureClaims({isSmall}: CapacityOptions): Promise<Row> {
  const count = isSmall ? SMALL_COUNT : CONFIRMATION_COUNT;
  const store = CountingMemoryStore.create();
  const member = {host: 'entry-1', incarnation: 'run-1'};
  const claimManager = createClaimManager({store, member});
  const cpuBefore = process.cpuUsage();
  const confirm = async (isRepeat: boolean) => {
    for (let i = 0; i < count; i++) {
      const outcome = await claimManager.runOnce({
        idempotencyKey: `key-${i}`,
        organisation: 'school-1',
        requestDigest: 'digest',
        deadlineMs: Infinity,
        send: async () => ({
          status: 'answered',
          answer: {httpStatus: 200, contentType: 'text/plain', body: 'booked'},
        }),
      });
      if (outcome.isReplay !== isRepeat) throw new Error('unexpected isReplay');
    }
  };
  const calls = await countCalls(store, () => confirm(false));
  const cpuUs = readCpuUs(cpuBefore);
  const repeatCalls = await countCalls(store, () => confirm(true));
  claimManager.stop();
  return {
    part: 'claims, a confirmation',
    callsEach: calls / count,
    callsARepeat: repeatCalls / count,
    cpuUsEach: cpuUs / count,
    storedBytesEach: store.counts.writtenBytes / count,
  };
}

async function measureLeases(options: CapacityOptions): Promise<Row> {
  const count = options.isSmall ? SMALL_COUNT : LEASE_ATTEMPT_COUNT;
  const store = CountingMemoryStore.create();
  const random = createRandom(options.seed);
  const [holder, candidate] = ['entry-1', 'entry-2'].map(host =>
    createLeaseManager({
      store,
      member: {host, incarnation: `${host}-1`},
      duty: 'rollouts',
      random,
    }),
  );
  await holder.renewOrAcquire();
  await candidate.renewOrAcquire();
  const advance = async (leaseManager: typeof holder) => {
    for (let i = 0; i < count; i++) await leaseManager.renewOrAcquire();
  };
  const holderCalls = await countCalls(store, () => advance(holder));
  const candidateCalls = await countCalls(store, () => advance(candidate));
  return {
    part: 'leases, an attempt',
    callsEach: holderCalls / count,
    candidateCallsEach: candidateCalls / count,
  };
}

async function measureAudit(
  writerCount: number,
  {isSmall}: CapacityOptions,
): Promise<Row> {
  const count = isSmall ? SMALL_COUNT : AUDIT_COUNT;
  const store = CountingMemoryStore.create();
  const trails = Array.from({length: writerCount}, () =>
    createAuditTrail({store}),
  );
  const cpuBefore = process.cpuUsage();
  const calls = await countCalls(store, async () => {
    for (let i = 0; i < count; i++) {
      await trails[i % writerCount].append(createAuditRecord(i));
    }
  });
  const cpuUs = readCpuUs(cpuBefore);
  for (const trail of trails) trail.stop();
  return {
    part: `audit, a record by ${writerCount} writers in turn`,
    callsEach: calls / count,
    cpuUsEach: cpuUs / count,
    storedBytesEach: store.counts.writtenBytes / count,
  };
}

function createAuditRecord(index: number): AuditRecord {
  return {
    id: `change-${index}/accepted`,
    timeMs: 1_764_806_400_000 + index,
    host: `entry-${index % 4}`,
    action: 'rules.apply',
    who: 'Kim',
    why: 'the new version answers better',
    beforeRevision: index,
    afterRevision: index + 1,
    outcome: 'accepted',
  };
}

async function run(options: CapacityOptions) {
  const rows: Row[] = [
    await measureClaims(options),
    await measureLeases(options),
  ];
  for (const writerCount of WRITER_COUNTS) {
    rows.push(await measureAudit(writerCount, options));
  }
  return {
    name: CAPACITY_CLAIMS_LEASES_AUDIT.name,
    seed: options.seed,
    rows,
    fits: [],
  };
}

/** Measures the object API calls of claims, leases and the audit trail. */
export const CAPACITY_CLAIMS_LEASES_AUDIT: CapacityCommand = {
  name: 'capacity-claims-leases-audit',
  description:
    'object API calls for each claim, lease renewal and audit record',
  run,
};
