import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseRules, type ModelOption} from '@anvilrudder/core';
import {RolloutWatch} from '../../src/decisions/rollout_watch.js';
import {resolveModelOptions} from '../../src/stages/model_options.js';
import {TEST_RULES} from '../support/test_deployment.js';

const SCOPE = {organisation: 'school-a', kind: 'chat'};

interface ShareCase {
  readonly name: string;
  readonly ruleShare: string;
  readonly ramps: boolean;
  /** Shares of quick@v1 and quick@v2. */
  readonly expected: readonly [number, number];
}

const CASES: readonly ShareCase[] = [
  {
    name: 'the rule alone sets a part',
    ruleShare: '30%',
    ramps: false,
    expected: [1, 0.3],
  },
  {
    name: 'the rule alone gives all to the candidate',
    ruleShare: '100%',
    ramps: false,
    expected: [0, 1],
  },
  {
    name: 'a ramp starts with its first step, whatever the rule allows',
    ruleShare: '100%',
    ramps: true,
    expected: [1, 0.05],
  },
  {
    name: 'a ramp never exceeds the rule',
    ruleShare: '2%',
    ramps: true,
    expected: [1, 0.02],
  },
];

function createWatch(ramps: boolean): RolloutWatch {
  return RolloutWatch.create({
    member: {host: 'entry-1', incarnation: '1'},
    rampsOnEvidence: ramps,
    onStop: () => undefined,
  });
}

function readShares(options: readonly ModelOption[]): readonly number[] {
  return ['v1', 'v2'].map(
    version =>
      options.find(
        option => option.model === 'quick' && option.version === version,
      )?.share ?? NaN,
  );
}

for (const {name, ruleShare, ramps, expected} of CASES) {
  test(`shares of work: ${name}`, () => {
    const text = TEST_RULES.replace('share=0%', `share=${ruleShare}`);
    const {rules} = parseRules(text);
    assert.ok(rules);
    const watch = createWatch(ramps);
    watch.tick(rules);
    const inForce = {revision: 1, rules, pendingRules: undefined};
    const options = resolveModelOptions(inForce, SCOPE);
    const limited = watch.limitShares(options, rules.rollouts);
    assert.deepEqual(readShares(limited), expected);
    assert.equal(watch.limitShares(options, rules.rollouts), limited);
  });
}
