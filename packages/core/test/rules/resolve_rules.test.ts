import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  explainOptions,
  isDispatchAllowed,
  isServiceAllowed,
  isWithdrawn,
  resolveCascade,
  resolveKind,
  resolveLimit,
  resolveOptions,
  resolveService,
} from '../../src/index.js';
import {readRules, SAMPLE_LINES} from './sample_rules.js';

function listShares(...lines: readonly string[]): readonly string[] {
  const rules = readRules(...SAMPLE_LINES, ...lines);
  const scope = {organisation: 'hana', kind: 'icebreaker'};
  return resolveOptions(rules, scope).map(
    ({model, version, share}) => `${model}@${version} ${share}`,
  );
}

const SHARE_CASES: ReadonlyArray<
  readonly [string, readonly string[], readonly string[]]
> = [
  [
    'equal without rollout rules',
    [],
    ['quick@v1 0.5', 'quick@v2 0.5', 'deep@v1 1'],
  ],
  [
    'the rest goes to the version without a rollout rule',
    ['rollout model=quick version=v2 share=5%'],
    ['quick@v1 0.95', 'quick@v2 0.05', 'deep@v1 1'],
  ],
  [
    'a drained version is kept for sessions with a share of 0',
    ['drain model=quick version=v1'],
    ['quick@v1 0', 'quick@v2 1', 'deep@v1 1'],
  ],
  [
    'a withdrawn version is left out and the rollout gets all new work',
    [
      'withdraw model=quick version=v1',
      'rollout model=quick version=v2 share=5%',
    ],
    ['quick@v2 1', 'deep@v1 1'],
  ],
  [
    'a share of 0% is never scaled up',
    [
      'withdraw model=quick version=v1',
      'rollout model=quick version=v2 share=0%',
    ],
    ['quick@v2 0', 'deep@v1 1'],
  ],
];

for (const [name, lines, expected] of SHARE_CASES) {
  test(`shares of new work: ${name}`, () => {
    assert.deepEqual(listShares(...lines), expected);
  });
}

test('shares count only the versions that the organisation may use', () => {
  const rules = readRules(
    ...SAMPLE_LINES,
    'rollout model=quick version=v2 share=95%',
  );
  const scope = {organisation: 'seo', kind: 'icebreaker'};
  const options = resolveOptions(rules, scope);
  assert.deepEqual(
    options.map(({version, share}) => [version, share]),
    [['v1', 1]],
  );
});

test('options list the rules that they result from', () => {
  const rules = readRules(
    ...SAMPLE_LINES,
    'rollout model=quick version=v2 share=5% # Lee: first step',
  );
  const scope = {organisation: 'hana', kind: 'icebreaker'};
  const option = resolveOptions(rules, scope)[1];
  assert.deepEqual(
    option.sources.map(({line, who}) => [line, who]),
    [
      [2, 'Kim'],
      [8, 'Kim'],
      [11, 'Lee'],
    ],
  );
});

test('unknown organisations and kinds have no options', () => {
  const rules = readRules(...SAMPLE_LINES);
  for (const organisation of ['nobody', '__proto__', '*']) {
    assert.deepEqual(
      resolveOptions(rules, {organisation, kind: 'icebreaker'}),
      [],
    );
  }
  assert.deepEqual(
    resolveOptions(rules, {organisation: 'hana', kind: 'constructor'}),
    [],
  );
  assert.deepEqual(
    resolveOptions(rules, {organisation: 'seo', kind: 'reason'}),
    [],
  );
});

test('a withdrawal overrides an allow rule, a drain does not', () => {
  const request = {organisation: 'hana', kind: 'icebreaker', model: 'quick'};
  const drained = readRules(...SAMPLE_LINES, 'drain model=quick version=v1');
  const withdrawn = readRules(
    ...SAMPLE_LINES,
    'withdraw model=quick version=v1',
  );
  assert.ok(isDispatchAllowed(drained, {...request, version: 'v1'}));
  assert.ok(!isDispatchAllowed(withdrawn, {...request, version: 'v1'}));
  assert.ok(isDispatchAllowed(withdrawn, {...request, version: 'v2'}));
  assert.ok(isWithdrawn(withdrawn, {model: 'quick', version: 'v1'}));
  assert.ok(!isWithdrawn(drained, {model: 'quick', version: 'v1'}));
});

test('an organisation may use only the version and kind of its allow rule', () => {
  const rules = readRules(...SAMPLE_LINES);
  const request = {
    organisation: 'seo',
    kind: 'icebreaker',
    model: 'quick',
    version: 'v1',
  };
  assert.ok(isDispatchAllowed(rules, request));
  assert.ok(!isDispatchAllowed(rules, {...request, version: 'v2'}));
  assert.ok(!isDispatchAllowed(rules, {...request, kind: 'reason'}));
  assert.ok(!isDispatchAllowed(rules, {...request, model: 'deep'}));
  assert.ok(!isDispatchAllowed(rules, {...request, organisation: 'x'}));
});

test('services are allowed by name and organisation', () => {
  const rules = readRules(...SAMPLE_LINES);
  const call = {organisation: 'hana', service: 'booking'};
  assert.ok(isServiceAllowed(rules, call));
  assert.ok(!isServiceAllowed(rules, {...call, service: 'report'}));
  assert.ok(!isServiceAllowed(rules, {...call, organisation: 'seo'}));
  assert.equal(resolveService(rules, 'booking')?.isIdempotent, false);
});

test('a target overrides the quality target of the kind for one organisation', () => {
  const rules = readRules(
    ...SAMPLE_LINES,
    'target organisation=hana kind=icebreaker quality=0.75',
    'limit organisation=hana requests-per-s=5 burst=10 concurrent=4',
    'cascade kind=reason models=quick,deep',
  );
  assert.equal(resolveKind(rules, 'hana', 'icebreaker')?.qualityTarget, 0.75);
  assert.equal(resolveKind(rules, 'seo', 'icebreaker')?.qualityTarget, 0.6);
  assert.equal(resolveKind(rules, 'seo', 'nothing'), undefined);
  assert.equal(resolveLimit(rules, 'hana')?.burst, 10);
  assert.equal(resolveLimit(rules, 'seo'), undefined);
  assert.deepEqual(resolveCascade(rules, 'reason')?.models, ['quick', 'deep']);
});

test('explains each version with a verdict and the rule text', () => {
  const lines = [
    ...SAMPLE_LINES,
    'model name=old version=v1 cost-per-mtok=1 quality=0.9',
    'withdraw model=old version=v1',
  ].map(line => `${line} # Kim: note # 2`);
  const rules = readRules(...lines);
  const scope = {organisation: 'hana', kind: 'reason'};
  const {qualityTarget, options} = explainOptions(
    rules,
    lines.join('\n'),
    scope,
  );
  assert.equal(qualityTarget, 0.85);
  assert.deepEqual(
    options.map(({verdict}) => verdict),
    [
      'quality below the target 0.85',
      'quality below the target 0.85',
      'chosen',
      'withdrawn',
    ],
  );
  assert.deepEqual(options[3].rules[1], {
    line: 12,
    who: 'Kim',
    why: 'note # 2',
    text: 'withdraw model=old version=v1',
  });
});

const VERSIONS = ['a', 'b', 'c', 'd'];

test('shares of a model add up to one unless no version can get new work', () => {
  const state = fc.constantFrom('plain', 'drain', 'withdraw', 'rollout');
  const percent = fc.integer({min: 0, max: 25});
  const versionState = fc.tuple(state, percent);
  fc.assert(
    fc.property(
      fc.array(versionState, {minLength: 4, maxLength: 4}),
      (versionStates): void => {
        const lines = versionStates.flatMap(([verb, share], index) => {
          const name = `model=m version=${VERSIONS[index]}`;
          if (verb === 'plain') return [];
          return verb === 'rollout'
            ? [`rollout ${name} share=${share}%`]
            : [`${verb} ${name}`];
        });
        const rules = readRules(
          ...VERSIONS.map(
            v => `model name=m version=${v} cost-per-mtok=1 quality=1`,
          ),
          'kind name=k quality=0 deadline-ms=1',
          'allow organisation=o model=m version=* kind=k',
          ...lines,
        );
        const options = resolveOptions(rules, {organisation: 'o', kind: 'k'});
        const total = options.reduce((sum, {share}) => sum + share, 0);
        const isOpen = versionStates.some(
          ([verb, share]) => verb === 'plain' || (verb === 'rollout' && share),
        );
        assert.ok(Math.abs(total - (isOpen ? 1 : 0)) < 1e-9);
        assert.ok(options.every(o => !o.isDrained || o.share === 0));
      },
    ),
  );
});
