import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseRules, type ModelOption} from '@anvilrudder/core';
import {RolloutController} from '../../src/decisions/rollout_controller.js';
import {resolveModelOptions} from '../../src/stages/model_options.js';
import {TEST_RULES} from '../support/test_deployment.js';

const SCOPE = {organisation: 'school-a', kind: 'chat'};

interface ShareCase {
  readonly name: string;
  readonly ruleShare: string;
  readonly rampsOnEvidence: boolean;
  /** Shares of quick@v1 and quick@v2. */
  readonly expected: readonly [number, number];
}

const CASES: readonly ShareCase[] = [
  {
    name: 'without a ramp, the candidate gets the share in the rule',
    ruleShare: '30%',
    rampsOnEvidence: false,
    expected: [1, 0.3],
  },
  {
    name: 'without a ramp, a rule of 100% leaves nothing to the old version',
    ruleShare: '100%',
    rampsOnEvidence: false,
    expected: [0, 1],
  },
  {
    name: 'a ramp starts at its first step, even when the rule allows more',
    ruleShare: '100%',
    rampsOnEvidence: true,
    expected: [1, 0.05],
  },
  {
    name: 'a ramp never exceeds the share in the rule',
    ruleShare: '2%',
    rampsOnEvidence: true,
    expected: [1, 0.02],
  },
];

function createController(rampsOnEvidence: boolean): RolloutController {
  return RolloutController.create({
    member: {host: 'entry-1', incarnation: '1'},
    rampsOnEvidence,
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

for (const {
  name,
  ruleShare,
  rampsOnEvidence: rampsOnEvidence,
  expected,
} of CASES) {
  test(`shares of new requests: ${name}`, () => {
    const text = TEST_RULES.replace('share=0%', `share=${ruleShare}`);
    const {rules} = parseRules(text);
    assert.ok(rules);
    const controller = createController(rampsOnEvidence);
    controller.evaluateRollouts(rules);
    const inForce = {revision: 1, rules, pendingRules: undefined};
    const options = resolveModelOptions(inForce, SCOPE);
    const limited = controller.limitShares(options, rules.rollouts);
    assert.deepEqual(readShares(limited), expected);
    assert.equal(controller.limitShares(options, rules.rollouts), limited);
  });
}
