import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
  isDispatchAllowed,
  isWithdrawn,
  resolveOptions,
  type ModelVersion,
  type WorkScope,
} from '../../../src/index.js';
import {readRules, SAMPLE_LINES} from '../sample_rules.js';

const ORGANISATIONS = ['hana', 'seo', 'nobody'];
const KINDS = ['icebreaker', 'reason', 'nothing'];
const VERSIONS = [
  {model: 'quick', version: 'v1'},
  {model: 'quick', version: 'v2'},
  {model: 'deep', version: 'v1'},
];

const stopLine = fc.tuple(
  fc.constantFrom('withdraw', 'drain', 'rollout'),
  fc.constantFrom(...VERSIONS),
);

const ruleSet = fc
  .uniqueArray(stopLine, {selector: line => JSON.stringify(line)})
  .map(lines =>
    readRules(
      ...SAMPLE_LINES,
      ...lines.map(([verb, {model, version}]) => {
        const share = verb === 'rollout' ? ' share=40%' : '';
        return `${verb} model=${model} version=${version}${share}`;
      }),
    ),
  );

function forEachRequest(
  check: (request: WorkScope & ModelVersion) => void,
): void {
  for (const organisation of ORGANISATIONS) {
    for (const kind of KINDS) {
      for (const version of VERSIONS) check({organisation, kind, ...version});
    }
  }
}

test('[allowed] a dispatch needs a matching allow rule and a known kind', () => {
  fc.assert(
    fc.property(ruleSet, rules => {
      forEachRequest(request => {
        const {organisation, kind, model, version} = request;
        const isGranted =
          (organisation === 'hana' && kind !== 'nothing') ||
          (organisation === 'seo' &&
            kind === 'icebreaker' &&
            model === 'quick' &&
            version === 'v1');
        const expected = isGranted && !isWithdrawn(rules, request);
        assert.equal(isDispatchAllowed(rules, request), expected);
      });
    }),
  );
});

test('[allowed] options are the versions that a dispatch may use', () => {
  fc.assert(
    fc.property(ruleSet, rules => {
      forEachRequest(request => {
        const isOffered = resolveOptions(rules, request).some(
          ({model, version}) =>
            model === request.model && version === request.version,
        );
        assert.equal(isOffered, isDispatchAllowed(rules, request));
      });
    }),
  );
});

test('[withdrawn] a withdrawn version gets no share and no dispatch', () => {
  fc.assert(
    fc.property(ruleSet, rules => {
      for (const withdrawal of rules.withdrawals) {
        forEachRequest(request => {
          const version = {...request, ...withdrawal};
          assert.equal(isDispatchAllowed(rules, version), false);
        });
      }
    }),
  );
});

test('[session] a drained version gets requests of its sessions and no new work', () => {
  const rules = readRules(...SAMPLE_LINES, 'drain model=quick version=v1');
  const scope = {organisation: 'hana', kind: 'icebreaker'};
  const option = resolveOptions(rules, scope)[0];
  assert.equal(option.share, 0);
  assert.equal(option.isDrained, true);
  assert.ok(isDispatchAllowed(rules, {...scope, ...VERSIONS[0]}));
});

test('[rules] a change that is not decided yet only restricts what is allowed', () => {
  fc.assert(
    fc.property(ruleSet, ruleSet, (rules, pending) => {
      forEachRequest(request => {
        const isAllowed = isDispatchAllowed(rules, request, pending);
        const expected =
          isDispatchAllowed(rules, request) &&
          isDispatchAllowed(pending, request);
        assert.equal(isAllowed, expected);
        const options = resolveOptions(rules, request, pending);
        const option = options.find(
          ({model, version}) =>
            model === request.model && version === request.version,
        );
        assert.equal(option !== undefined, expected);
        const isDrained = [rules, pending].some(({drains}) =>
          drains.some(
            ({model, version}) =>
              model === request.model && version === request.version,
          ),
        );
        if (isDrained) assert.equal(option?.share ?? 0, 0);
      });
    }),
  );
});
