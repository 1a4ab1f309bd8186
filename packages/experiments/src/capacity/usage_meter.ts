import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {CountingMemoryStore} from './counting_memory_store.js';

const US_PER_S = 1_000_000;

/** Waits for `ms` milliseconds. */
export async function sleepMs(ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms));
}

/**
 * Polls a condition until it holds.
 *
 * @throws Error when it does not hold within `timeoutMs`.
 */
export async function waitUntil(
  condition: () => boolean,
  timeoutMs = 30_000,
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() > deadlineMs) throw new Error('The wait timed out.');
    await sleepMs(5);
  }
}

/**
 * Reads the CPU time of this process in microseconds, in total or since an
 * earlier reading.
 */
export function readCpuUs(since?: NodeJS.CpuUsage): number {
  const {user, system} = process.cpuUsage(since);
  return user + system;
}

/** Converts CPU time to the utilization of one core, in percent. */
export function toCorePercent(cpuUs: number, elapsedMs: number): number {
  return (cpuUs / US_PER_S / (elapsedMs / 1000)) * 100;
}

/** Runs a garbage collection and returns the bytes of heap still in use. */
export function readHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
}

/** Counts the calls to a store while `work` runs. */
export async function countCalls(
  store: CountingMemoryStore,
  work: () => Promise<unknown>,
): Promise<number> {
  const before = store.callCount;
  await work();
  return store.callCount - before;
}
