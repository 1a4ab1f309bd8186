import {performance} from 'node:perf_hooks';
import {
  createRuleIndex,
  isDispatchAllowed,
  parseRules,
  resolveOptions,
} from '../../src/index.js';
import {readRules} from './sample_rules.js';

const VERSION_COUNT = 28;
const ORGANISATION_COUNT = 10;
const CALL_COUNT = 100_000;
const BUILD_COUNT = 500;

function createLines(): readonly string[] {
  const versions = Array.from({length: VERSION_COUNT}, (_, index) => {
    const model = `m${index % 7}`;
    return `model name=${model} version=v${index} cost-per-mtok=1 quality=0.7 # a: b`;
  });
  const organisations = Array.from({length: ORGANISATION_COUNT}, (_, index) => [
    `allow organisation=o${index} model=m0 version=v0 kind=k # a: b`,
    `allow organisation=o${index} model=m1 version=* kind=k # a: b`,
    `allow organisation=o${index} model=* version=* kind=* # a: b`,
  ]);
  return [
    ...versions,
    'kind name=k quality=0.6 deadline-ms=100 # a: b',
    ...organisations.flat(),
    'rollout model=m0 version=v0 share=5% # a: b',
    'drain model=m1 version=v1 # a: b',
  ];
}

function measure(name: string, count: number, run: () => unknown): void {
  for (let index = 0; index < count / 10; index++) run();
  const startMs = performance.now();
  for (let index = 0; index < count; index++) run();
  const callUs = ((performance.now() - startMs) * 1000) / count;
  console.log(`${name}: ${callUs.toFixed(2)} µs per call`);
}

const lines = createLines();
const rules = readRules(...lines);
const text = lines.join('\n');
const scope = {organisation: 'o9', kind: 'k'};
const request = {...scope, model: 'm6', version: 'v27'};
measure('resolveOptions', CALL_COUNT, () => resolveOptions(rules, scope));
measure('isDispatchAllowed', CALL_COUNT, () =>
  isDispatchAllowed(rules, request),
);
measure('createRuleIndex', BUILD_COUNT, () => createRuleIndex(rules));
measure('parseRules', BUILD_COUNT, () => parseRules(text));
