import {
  explainOptions,
  RouterError,
  type ExplainedOption,
  type WorkScope,
} from '@anvilrudder/core';
import type {RulesManager} from '../rules_manager.js';

/** How one revision of the rules routes one kind of request. */
export interface ExplainResult {
  readonly revision: number;
  readonly options: readonly ExplainedOption[];
}

/** Explains to which model version a request is routed, and why. */
export type Explainer = (scope: WorkScope) => ExplainResult;

/**
 * Creates an explainer that considers the rules in force, but neither ratings
 * nor load.
 *
 * @returns a function that throws a RouterError `not_ready` while no rules are
 * in force.
 * @example
 * ```ts
 * createRulesExplainer(rulesManager)({organisation: 'hana', kind: 'icebreaker'});
 * ```
 */
export function createRulesExplainer(rulesManager: RulesManager): Explainer {
  return scope => {
    const inForce = rulesManager.inForce();
    if (inForce === undefined) {
      throw RouterError.create('No rules are in force.', {code: 'not_ready'});
    }
    const {rules, revision} = inForce;
    const {options} = explainOptions(rules, rulesManager.content(), scope);
    return {revision, options};
  };
}
