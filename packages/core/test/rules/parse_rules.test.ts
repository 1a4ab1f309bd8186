import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {formatFinding, MAX_FINDINGS, parseRules} from '../../src/index.js';

const BASE = [
  'model name=quick version=v1 cost-per-mtok=0.2 quality=0.7 # Kim: base',
  'model name=quick version=v2 cost-per-mtok=0.3 quality=0.8 # Kim: better',
  'model name=deep version=v1 cost-per-mtok=2 quality=0.9 # Kim: letters',
  'kind name=icebreaker quality=0.6 deadline-ms=8000 priority=low # Lee: chat',
  'service name=booking timeout-ms=5000 # Lee: pairings',
  'allow organisation="Hana Middle" model=* version=* kind=* # Kim: pilot',
  'allow organisation="Hana Middle" service=booking # Kim: pilot',
];

function check(...lines: readonly string[]): readonly string[] {
  const {findings} = parseRules([...BASE, ...lines].join('\n'));
  return findings.map(finding => formatFinding('f', finding));
}

test('reads every verb with its source', () => {
  const {rules, findings} = parseRules(
    [
      '# a comment line',
      '',
      ...BASE,
      'target organisation="Hana Middle" kind=icebreaker quality=0.75 # Lee: x',
      'rollout model=quick version=v2 share=5% # Kim: first step: five',
      'withdraw model=deep version=v1 # Kim: bad letters',
      'drain model=quick version=v1 # Kim: old',
      'limit organisation="Hana Middle" requests-per-s=2.5 burst=10 concurrent=4 # K: y',
      'cascade kind=icebreaker models=quick,deep # K: z',
    ].join('\r\n'),
  );
  assert.deepEqual(findings, []);
  assert.equal(rules?.rollouts[0].share, 0.05);
  assert.deepEqual(rules.rollouts[0].source, {
    line: 11,
    who: 'Kim',
    why: 'first step: five',
  });
  assert.equal(rules.allows[0].organisation, 'Hana Middle');
  assert.equal(rules.services[0].isIdempotent, false);
  assert.equal(rules.limits[0].requestsPerS, 2.5);
  assert.deepEqual(rules.cascades[0].models, ['quick', 'deep']);
  assert.equal(rules.drains.length + rules.withdrawals.length, 2);
  assert.equal(rules.targets[0].qualityTarget, 0.75);
});

const FAULTS: ReadonlyArray<readonly [string, string]> = [
  [
    'alow organisation=x # a: b',
    '8:1: error: unknown verb "alow" (did you mean "allow"?)',
  ],
  [
    'drain model=quick version=v1',
    '8:29: error: the rule has no comment (end the line with "# who: why")',
  ],
  [
    'drain model=quick version=v1 # no colon',
    '8:30: error: the comment does not say who asked for the rule and why (write "# who: why")',
  ],
  ['drain model=quick # a: b', '8:1: error: drain needs version='],
  [
    'drain model=quick version=v1 versoin=v2 # a: b',
    '8:30: error: drain has no key "versoin" (did you mean "version"?)',
  ],
  [
    'drain model=quick version=v1 version=v2 # a: b',
    '8:30: error: the key "version" stands twice (keep one)',
  ],
  [
    'drain model=quick version=v9 # a: b',
    '8:27: error: no rule declares the version "v9" (did you mean "v1"?)',
  ],
  [
    'drain model=quik version=v1 # a: b',
    '8:13: error: no rule declares the model "quik" (did you mean "quick"?)',
  ],
  [
    'drain model quick # a: b',
    '8:7: error: expected key=value at "model" (put values with spaces in double quotes)',
  ],
  [
    'drain model="quick version=v1 # a: b',
    '8:13: error: the quoted value has no closing quote (add ")',
  ],
  [
    'rollout model=quick version=v2 share=5 # a: b',
    '8:38: error: share "5" is more than 100% (did you mean "5%"?)',
  ],
  [
    'rollout model=quick version=v2 share=x% # a: b',
    '8:38: error: share must be a percentage or a number from 0 to 1, not "x%" (write for instance 5%)',
  ],
  [
    'target organisation="Hana Middle" quality=0.5 # a: b',
    '8:1: error: target needs kind=',
  ],
  [
    'target organisation="Hana Midle" kind=icebreaker quality=0.5 # a: b',
    '8:21: error: no rule declares the organisation "Hana Midle" (did you mean "Hana Middle"?)',
  ],
  [
    'allow organisation=a model=quick version=* kind=icebreker # a: b',
    '8:49: error: no rule declares the kind "icebreker" (did you mean "icebreaker"?)',
  ],
  [
    'allow organisation=a service=bookings # a: b',
    '8:30: error: no rule declares the service "bookings" (did you mean "booking"?)',
  ],
  [
    'allow organisation=* model=* version=* kind=* # a: b',
    '8:20: error: organisation must be a name; * is not allowed here, got "*"',
  ],
  [
    'allow organisation=a service=booking model=* version=* kind=* # a: b',
    '8:30: error: a rule allows either a model or a service (write two rules)',
  ],
  [
    'cascade kind=icebreaker models=quick,depp # a: b',
    '8:32: error: no rule declares the model "depp" (did you mean "deep"?)',
  ],
  [
    'cascade kind=icebreaker models=deep,quick # a: b',
    '8:32: warning: a model of the cascade costs less than the one before it (list the cheapest model first)',
  ],
  [
    'kind name=x quality=1.5 deadline-ms=10 # a: b',
    '8:21: error: quality must be a number from 0 to 1, not "1.5"',
  ],
  [
    'kind name=x quality=1 deadline-ms=1e3 # a: b',
    '8:35: error: deadline-ms must be a whole number from 1 to 3600000, not "1e3"',
  ],
  [
    'kind name=x quality=1 deadline-ms=1 priority=hihg # a: b',
    '8:46: error: priority must be low or normal or high, not "hihg" (did you mean "high"?)',
  ],
  [
    'allow organisation=a/b model=* version=* kind=* # a: b',
    '8:20: error: organisation must be letters, digits, spaces and ._:+- and begin with a letter or digit, got "a/b"',
  ],
  [
    'model name=a@b version=v1 cost-per-mtok=1 quality=1 # a: b',
    '8:12: error: name must be letters, digits, spaces and ._:+- and begin with a letter or digit, got "a@b"',
  ],
  [
    BASE[0],
    '8:12: error: line 1 already holds this rule (keep one of the two)',
  ],
  [
    'drain model=quick version=v1 # a: \u202eb',
    '8:35: error: the line holds the invisible character U+202e (remove it)',
  ],
  [
    `# ${'x'.repeat(5000)}`,
    '8:4097: error: the line is longer than 4096 characters',
  ],
];

for (const [line, expected] of FAULTS) {
  const name = line.slice(0, 60);
  test(`finds one fault in: ${JSON.stringify(name)}`, () => {
    assert.deepEqual(check(line), [`f:${expected}`]);
  });
}

test('refuses shares over 100% of a model at the line that exceeds it', () => {
  const findings = check(
    'rollout model=quick version=v1 share=70% # a: b',
    'rollout model=quick version=v2 share=0.4 # a: b',
  );
  assert.deepEqual(findings, [
    'f:9:38: error: the shares of model "quick" add up to more than 100% (at most 30% is left)',
  ]);
});

test('warns of a roll-out that a withdrawal makes idle', () => {
  const text = [
    ...BASE,
    'withdraw model=quick version=v2 # a: b',
    'rollout model=quick version=v2 share=5% # a: b',
  ].join('\n');
  const {rules, findings} = parseRules(text);
  assert.equal(findings[0].code, 'idle_rule');
  assert.notEqual(rules, undefined);
});

test('reports faults of all lines together in order', () => {
  const findings = check('drain model=x version=v1', 'nothing', 'drain');
  assert.deepEqual(
    findings.map(text => text.split(':').slice(1, 3).join(':')),
    ['8:13', '8:25', '9:1', '9:8', '10:1', '10:1', '10:6'],
  );
});

test('refuses a file over the size limit without reading it', () => {
  const {rules, findings} = parseRules('# é\n'.repeat(250_000));
  assert.equal(rules, undefined);
  assert.deepEqual(
    findings.map(finding => finding.code),
    ['file_too_large'],
  );
});

test('bounds the findings of a file and says that there are more', () => {
  const {rules, findings} = parseRules('x\n'.repeat(MAX_FINDINGS * 10));
  assert.equal(rules, undefined);
  assert.equal(findings.length, MAX_FINDINGS + 1);
  assert.equal(findings.at(-1)?.code, 'too_many_findings');
});

test('too many warnings do not refuse a file', () => {
  const versions = Array.from({length: MAX_FINDINGS + 1}, (_, i) => `w${i}`);
  const lines = versions.flatMap(version => [
    `model name=m version=${version} cost-per-mtok=1 quality=1 # a: b`,
    `withdraw model=m version=${version} # a: b`,
    `drain model=m version=${version} # a: b`,
  ]);
  const {rules, findings} = parseRules(lines.join('\n'));
  assert.notEqual(rules, undefined);
  assert.equal(findings.at(-1)?.severity, 'warning');
});

test('never throws, and names an existing line for each finding', () => {
  const piece = fc.oneof(
    fc.string({unit: 'binary'}),
    fc.constantFrom(...BASE, '__proto__', 'constructor', '="', ' # a: b'),
  );
  fc.assert(
    fc.property(fc.array(piece), fc.constantFrom(' ', '\n'), (parts, glue) => {
      const text = parts.join(glue);
      const {rules, findings} = parseRules(text);
      const lineCount = text.split('\n').length;
      const hasError = findings.some(({severity}) => severity === 'error');
      assert.equal(rules === undefined, hasError);
      assert.ok(findings.every(({position: place}) => place.line <= lineCount));
    }),
  );
});
