import assert from 'node:assert/strict';
import {test} from 'node:test';
import * as fc from 'fast-check';
import {
  MODEL_POLICIES,
  ModelChooser,
  type ModelOption,
  type ModelPolicyName,
} from '../../src/index.js';

const QUICK: ModelOption = {
  model: 'quick',
  version: 'v1',
  costPerMtok: 1,
  quality: 0.5,
  share: 1,
  sourceLine: 1,
};
const DEEP: ModelOption = {
  ...QUICK,
  model: 'deep',
  costPerMtok: 10,
  quality: 0.9,
};
const REQUEST = {
  organisation: 'school',
  kind: 'note',
  qualityTarget: 0.7,
  options: [QUICK, DEEP],
};

function countModel(chooser: ModelChooser, model: string, total: number) {
  let count = 0;
  for (let i = 0; i < total; i++) {
    const plan = chooser.choose({...REQUEST, key: `r-${i}`});
    if (plan?.steps[0].model === model) count += 1;
  }
  return count;
}

test('every policy chooses only options that are not excluded', () => {
  const versions = fc.uniqueArray(fc.integer({min: 0, max: 9}), {minLength: 1});
  const policies = Object.keys(MODEL_POLICIES) as ModelPolicyName[];
  fc.assert(
    fc.property(
      versions,
      fc.integer({min: 0, max: 9}),
      fc.constantFrom(...policies),
      fc.double({min: 0, max: 1, noNaN: true}),
      (ids, excludedId, policy, share) => {
        const options = ids.map(id => ({
          ...QUICK,
          model: `m${id % 3}`,
          version: `v${id}`,
          costPerMtok: id + 1,
          quality: id / 10,
          share: id % 2 === 0 ? 1 : share,
        }));
        const excluded = [
          {model: `m${excludedId % 3}`, version: `v${excludedId}`},
        ];
        const chooser = ModelChooser.create({policy});
        for (let i = 0; i < 5; i++) {
          const plan = chooser.choose({
            ...REQUEST,
            key: `k${i}`,
            options,
            excluded,
            cascadeModels: ['m0', 'm1', 'm2'],
          });
          for (const step of plan?.steps ?? []) {
            assert.ok(options.includes(step));
            assert.notEqual(step.version, `v${excludedId}`);
          }
        }
      },
    ),
  );
});

test('learnt-mix meets the quality target on average without exceeding it', () => {
  const chooser = ModelChooser.create({maxCaution: 0, explorationShare: 0});
  assert.equal(countModel(chooser, 'deep', 1000), 500);
});

test('ratings below the configured quality shift requests to other versions', () => {
  const chooser = ModelChooser.create({explorationShare: 0});
  const before = countModel(chooser, 'deep', 1000);
  for (let i = 0; i < 200; i++) {
    chooser.observeRating({...REQUEST, ...QUICK, score: 0.2});
  }
  assert.ok(countModel(chooser, 'deep', 1000) > before + 100);
});

test('a higher exposure weight favours higher quality before any ratings', () => {
  const exposureOnly = ModelChooser.create({weights: {cost: 0, exposure: 1}});
  const costOnly = ModelChooser.create({weights: {cost: 1, exposure: 0}});
  const difference =
    countModel(exposureOnly, 'deep', 1000) - countModel(costOnly, 'deep', 1000);
  assert.ok(difference > 50);
});

test('an unreachable quality target selects the best option', () => {
  const chooser = ModelChooser.create({explorationShare: 0});
  const plan = chooser.choose({...REQUEST, key: 'a', qualityTarget: 0.99});
  assert.equal(plan?.steps[0].model, 'deep');
});

test('a cascade is used once ratings show that check scores predict quality', () => {
  const chooser = ModelChooser.create({explorationShare: 0});
  for (let i = 0; i < 400; i++) {
    const checkScore = i % 2 === 0 ? 0.9 : 0.1;
    const answer = {...QUICK, kind: 'note', checkScore};
    chooser.observeOutcome(answer);
    chooser.observeRating({...answer, score: checkScore});
    chooser.observeRating({...DEEP, kind: 'note', score: 0.9});
  }
  const plan = chooser.choose({
    ...REQUEST,
    key: 'a',
    qualityTarget: 0.85,
    cascadeModels: ['quick', 'deep'],
  });
  assert.deepEqual(
    plan?.steps.map(step => step.model),
    ['quick', 'deep'],
  );
});

test('a rollout gets its share, and keys keep the new version as it grows', () => {
  const chooser = ModelChooser.create({policy: 'always-cheapest'});
  const resolveVersions = (share: number) => {
    const rollout = {...QUICK, version: 'v2', share};
    return Array.from({length: 5000}, (_, i) => {
      const request = {...REQUEST, key: `s-${i}`, options: [QUICK, rollout]};
      return chooser.choose(request)?.steps[0].version;
    });
  };
  const small = resolveVersions(0.05);
  const large = resolveVersions(0.25);
  const countRollout = (versions: readonly unknown[]) =>
    versions.filter(version => version === 'v2').length;
  assert.ok(Math.abs(countRollout(small) - 250) < 60);
  assert.ok(Math.abs(countRollout(large) - 1250) < 120);
  for (const [i, version] of small.entries()) {
    if (version === 'v2') assert.equal(large[i], 'v2');
  }
});

test('a key whose version in rollout is excluded gets another version of the same model', () => {
  const chooser = ModelChooser.create({policy: 'always-cheapest'});
  const rollout = {...QUICK, version: 'v2', share: 0.5};
  const request = {...REQUEST, options: [QUICK, rollout, DEEP]};
  for (let i = 0; i < 50; i++) {
    const plan = chooser.choose({
      ...request,
      key: `k-${i}`,
      excluded: [rollout],
    });
    assert.equal(plan?.steps[0].model, 'quick');
    assert.equal(plan?.steps[0].version, 'v1');
  }
});

test('a rollout never exceeds its share, even if no other option is left', () => {
  const chooser = ModelChooser.create();
  const rollout = {...QUICK, version: 'v2', share: 0.1};
  let count = 0;
  for (let i = 0; i < 1000; i++) {
    const plan = chooser.choose({
      ...REQUEST,
      key: `k-${i}`,
      options: [QUICK, rollout],
      excluded: [QUICK],
    });
    if (plan !== undefined) count += 1;
  }
  assert.ok(count > 60 && count < 150, `${count}`);
});
