import assert from 'node:assert/strict';
import {test} from 'node:test';
import {reviewChange} from '../../src/index.js';
import {readRules, SAMPLE_LINES} from './sample_rules.js';

interface ReviewCase {
  readonly name: string;
  readonly before?: readonly string[];
  readonly removed?: string;
  readonly added?: readonly string[];
  readonly expected: ReadonlyArray<readonly [number, string]>;
}

const CASES: readonly ReviewCase[] = [
  {name: 'no change', expected: []},
  {
    name: 'a version removed without a withdrawal',
    removed: SAMPLE_LINES[1],
    expected: [[1, 'version_removed']],
  },
  {
    name: 'a withdrawn version removed',
    before: [
      'model name=old version=v1 cost-per-mtok=1 quality=0.5',
      'withdraw model=old version=v1',
    ],
    expected: [],
  },
  {
    name: 'the last version of a model withdrawn',
    added: ['withdraw model=deep version=v1'],
    expected: [
      [11, 'model_emptied'],
      [5, 'target_unmet'],
    ],
  },
  {
    name: 'an allow rule removed that sessions need',
    removed: SAMPLE_LINES[9],
    expected: [[1, 'session_rule_removed']],
  },
  {
    name: 'a target that no open version meets',
    added: ['target organisation=seo kind=icebreaker quality=0.75'],
    expected: [[11, 'target_unmet']],
  },
  {
    name: 'a roll-out that takes over its model',
    before: ['rollout model=quick version=v2 share=5%'],
    added: [
      'rollout model=quick version=v2 share=5%',
      'drain model=quick version=v1',
    ],
    expected: [
      [11, 'rollout_scaled'],
      [4, 'target_unmet'],
    ],
  },
];

for (const {name, before = [], removed, added = [], expected} of CASES) {
  test(`reviews ${name}`, () => {
    const findings = reviewChange(
      readRules(...SAMPLE_LINES, ...before),
      readRules(...SAMPLE_LINES.filter(line => line !== removed), ...added),
    );
    assert.deepEqual(
      findings.map(({position: place, code}) => [place.line, code]),
      expected,
    );
    assert.ok(findings.every(({severity}) => severity === 'warning'));
  });
}
