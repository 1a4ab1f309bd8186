export * from './rule_set.js';
export {
  MAX_FINDINGS,
  MAX_RULE_FILE_BYTES,
  parseRules,
  type ParsedRules,
} from './parse_rules.js';
export * from './diff_rules.js';
export * from './explain_options.js';
export * from './resolve_rules.js';
export {reviewChange} from './review_change.js';
export {
  createRuleIndex,
  getRuleIndex,
  type RuleIndex,
  type IndexedVersion,
} from './rule_index.js';
export {formatPercent} from './format_percent.js';
