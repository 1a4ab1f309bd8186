import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {CountingMemoryStore} from './counting_memory_store.js';

const US_PER_S = 1_000_000;

/** Waits in the time of the runtime. */
export async function pauseMs(ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until a condition holds. */
export async function waitUntil(
  condition: () => boolean,
  limitMs = 30_000,
): Promise<void> {
  const endAtMs = performance.now() + limitMs;
  while (!condition()) {
    if (performance.now() > endAtMs) throw new Error('The wait has no end.');
    await pauseMs(5);
  }
}

/** Processor time of this process since a reading, in microseconds. */
export function readCpuUs(since?: NodeJS.CpuUsage): number {
  const {user, system} = process.cpuUsage(since);
  return user + system;
}

/** Processor time as a part of one core, in percent. */
export function toCorePercent(cpuUs: number, elapsedMs: number): number {
  return (cpuUs / US_PER_S / (elapsedMs / 1000)) * 100;
}

/** Bytes of the heap in use after a collection. */
export function readHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  return process.memoryUsage().heapUsed;
}

/** Calls made to a store by a piece of work. */
export async function countCalls(
  store: CountingMemoryStore,
  work: () => Promise<unknown>,
): Promise<number> {
  const before = store.callCount;
  await work();
  return store.callCount - before;
}
