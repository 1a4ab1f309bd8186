import assert from 'node:assert/strict';
import {parseRules, type RuleSet} from '../../src/index.js';

/**
 * Parses rule lines and asserts that they have no errors. Lines without a comment
 * get one.
 */
export function readRules(...lines: readonly string[]): RuleSet {
  const text = lines
    .map(line => (line.includes('#') ? line : `${line} # Kim: test`))
    .join('\n');
  const {rules, findings} = parseRules(text);
  assert.deepEqual(
    findings.filter(finding => finding.severity === 'error'),
    [],
  );
  assert.ok(rules !== undefined);
  return rules;
}

/**
 * Two models with three versions in total. The organisation `hana` may use all
 * of them and `seo` only one.
 */
export const SAMPLE_LINES: readonly string[] = [
  'model name=quick version=v1 cost-per-mtok=0.2 quality=0.7',
  'model name=quick version=v2 cost-per-mtok=0.3 quality=0.8',
  'model name=deep version=v1 cost-per-mtok=2 quality=0.9',
  'kind name=icebreaker quality=0.6 deadline-ms=8000 session=yes',
  'kind name=reason quality=0.85 deadline-ms=8000',
  'service name=booking idempotent=no timeout-ms=5000',
  'service name=report idempotent=yes timeout-ms=5000',
  'allow organisation=hana model=* version=* kind=*',
  'allow organisation=hana service=booking',
  'allow organisation=seo model=quick version=v1 kind=icebreaker',
];
