export * from './rule_set.js';
export {
  MAX_FINDINGS,
  MAX_RULE_FILE_BYTES,
  parseRules,
  type ParsedRules,
} from './parse_rules.js';
