import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import type {CapacityCommand, CapacityOptions, Row} from './capacity_report.js';
import {PART_NAMES, type PartMemory} from './process_part.js';

const PART_PROGRAM = fileURLToPath(new URL('process_main.js', import.meta.url));
const BARE_SCRIPT =
  'const {rss, heapUsed} = process.memoryUsage();' +
  'console.log(JSON.stringify({residentBytes: rss, heapBytes: heapUsed}))';
const BYTES_PER_MB = 1_000_000;
const BASE_PART = 'libraries';

const runFile = promisify(execFile);

async function measureProcess(args: readonly string[]): Promise<PartMemory> {
  const {stdout} = await runFile(process.execPath, [...args]);
  return JSON.parse(stdout) as PartMemory;
}

async function run({seed, isSmall}: CapacityOptions) {
  const bare = await measureProcess(['-e', BARE_SCRIPT]);
  const rows: Row[] = [createRow('bare Node.js', bare, bare)];
  const parts = isSmall ? PART_NAMES.slice(0, 1) : PART_NAMES;
  let base = bare;
  for (const part of parts) {
    const memory = await measureProcess([PART_PROGRAM, part]);
    rows.push(createRow(part, memory, base));
    if (part === BASE_PART) base = memory;
  }
  return {name: CAPACITY_PROCESS.name, seed, rows, fits: []};
}

// Increments are over the bare process up to the libraries, and over the
// libraries from then on.
function createRow(part: string, memory: PartMemory, base: PartMemory): Row {
  return {
    part,
    residentMb: memory.residentBytes / BYTES_PER_MB,
    heapMb: memory.heapBytes / BYTES_PER_MB,
    residentMoreMb: (memory.residentBytes - base.residentBytes) / BYTES_PER_MB,
    heapMoreMb: (memory.heapBytes - base.heapBytes) / BYTES_PER_MB,
  };
}

/** Memory of a process by the parts that it holds. */
export const CAPACITY_PROCESS: CapacityCommand = {
  name: 'capacity-process',
  description: 'memory of a process, by the parts that it holds',
  run,
};
