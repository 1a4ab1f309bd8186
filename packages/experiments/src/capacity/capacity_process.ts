import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import type {CapacityCommand, CapacityOptions, Row} from './capacity_report.js';
import {COMPONENT_NAMES, type ProcessMemory} from './process_component.js';

const COMPONENT_SCRIPT = fileURLToPath(
  new URL('process_main.js', import.meta.url),
);
const BASELINE_SCRIPT =
  'const {rss, heapUsed} = process.memoryUsage();' +
  'console.log(JSON.stringify({residentBytes: rss, heapBytes: heapUsed}))';
const BYTES_PER_MB = 1_000_000;
const BASE_COMPONENT = 'libraries';

const runFile = promisify(execFile);

async function measureProcess(args: readonly string[]): Promise<ProcessMemory> {
  const {stdout} = await runFile(process.execPath, [...args]);
  return JSON.parse(stdout) as ProcessMemory;
}

async function run({seed, isSmall}: CapacityOptions) {
  const bare = await measureProcess(['-e', BASELINE_SCRIPT]);
  const rows: Row[] = [createRow('bare Node.js', bare, bare)];
  const components = isSmall ? COMPONENT_NAMES.slice(0, 1) : COMPONENT_NAMES;
  let base = bare;
  for (const component of components) {
    const memory = await measureProcess([COMPONENT_SCRIPT, component]);
    rows.push(createRow(component, memory, base));
    if (component === BASE_COMPONENT) base = memory;
  }
  return {name: CAPACITY_PROCESS.name, seed, rows, fits: []};
}

// Creates the row of a component. The increments are relative to bare Node.js up
// to the `libraries` row, and relative to `libraries` after it.
function createRow(
  component: string,
  memory: ProcessMemory,
  base: ProcessMemory,
): Row {
  return {
    part: component,
    residentMb: memory.residentBytes / BYTES_PER_MB,
    heapMb: memory.heapBytes / BYTES_PER_MB,
    residentMoreMb: (memory.residentBytes - base.residentBytes) / BYTES_PER_MB,
    heapMoreMb: (memory.heapBytes - base.heapBytes) / BYTES_PER_MB,
  };
}

/** Measures the memory of a process for each component that it may hold. */
export const CAPACITY_PROCESS: CapacityCommand = {
  name: 'capacity-process',
  description: 'memory of a process, by component',
  run,
};
