// Runs the compiled tests and prints `N passed, N failed`. Failures listed in
// KNOWN-RED.txt are printed and counted apart.
//
// Usage: node scripts/run_tests.mjs [--faults] [path part ...]
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {dirname, join, relative} from 'node:path';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';
import {fileURLToPath} from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
const KNOWN_RED_FILE = join(ROOT, 'KNOWN-RED.txt');
const CONCURRENCY = 4;
// A test that hangs fails instead of holding up the run.
const TEST_TIMEOUT_MS = 120_000;
const PROMISE_TAG = /^\[([a-z-]+)\]/;

function listTests() {
  const packages = readdirSync(join(ROOT, 'packages')).map(name =>
    join(ROOT, 'packages', name),
  );
  return [...packages, join(ROOT, 'platform')]
    .flatMap(home => {
      const folder = join(home, 'dist', 'test');
      if (!existsSync(folder)) return [];
      return readdirSync(folder, {recursive: true})
        .filter(file => file.endsWith('.test.js'))
        .filter(file =>
          existsSync(join(home, 'test', file.replace(/js$/, 'ts'))),
        )
        .map(file => join(folder, file));
    })
    .sort();
}

// Reads the `test:` lines of KNOWN-RED.txt, one test name each.
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const names = readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
  return new Set(names);
}

const args = process.argv.slice(2);
const faultsOnly = args.includes('--faults');
const filters = args.filter(arg => !arg.startsWith('--'));
const files = listTests()
  .filter(file => !faultsOnly || /[/\\]faults[/\\]/.test(file))
  .filter(
    file =>
      filters.length === 0 ||
      filters.some(f => relative(ROOT, file).includes(f)),
  );

if (files.length === 0) {
  console.log('0 passed, 0 failed');
  process.exit(1);
}

const knownRed = readKnownRed();
const knownRedSeen = [];
const byPromise = new Map();
let passed = 0;
let failed = 0;

function countByPromise(name, isPass) {
  const tag = PROMISE_TAG.exec(name)?.[1];
  if (tag === undefined) return;
  const entry = byPromise.get(tag) ?? {passed: 0, failed: 0};
  entry[isPass ? 'passed' : 'failed'] += 1;
  byPromise.set(tag, entry);
}

const stream = run({
  files,
  concurrency: CONCURRENCY,
  timeout: TEST_TIMEOUT_MS,
});
stream.on('test:pass', event => {
  if (event.details?.type === 'suite') return;
  passed += 1;
  countByPromise(event.name, true);
});
stream.on('test:fail', event => {
  if (event.details?.type === 'suite') return;
  if (event.details?.error?.failureType === 'subtestsFailed') return;
  if (knownRed.has(event.name)) {
    knownRedSeen.push(event.name);
    return;
  }
  failed += 1;
  countByPromise(event.name, false);
});
stream.compose(new spec()).pipe(process.stdout);
stream.on('end', () => {
  setImmediate(() => {
    for (const [tag, count] of [...byPromise].sort()) {
      console.log(`promise ${tag}: ${count.passed} ok, ${count.failed} red`);
    }
    for (const name of knownRedSeen) console.log(`known red: ${name}`);
    console.log(`${passed} passed, ${failed} failed`);
    process.exitCode = failed === 0 ? 0 : 1;
  });
});
