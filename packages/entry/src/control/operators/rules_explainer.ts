import {
  explainOptions,
  RouterError,
  type ExplainedOption,
  type WorkScope,
} from '@anvilrudder/core';
import type {RulesKeeper} from '../rules_keeper.js';

/** What the rules in force say of one kind of request. */
export interface Explanation {
  readonly revision: number;
  readonly options: readonly ExplainedOption[];
}

/** Tells which model and version a request would get, and why. */
export type Explainer = (scope: WorkScope) => Explanation;

/**
 * Explains by the rules in force alone, without ratings or load.
 *
 * @throws RouterError `not_ready` while no rules are in force.
 * @example
 * ```ts
 * createRulesExplainer(keeper)({organisation: 'hana', kind: 'icebreaker'});
 * ```
 */
export function createRulesExplainer(keeper: RulesKeeper): Explainer {
  return scope => {
    const inForce = keeper.inForce();
    if (inForce === undefined) {
      throw RouterError.create('No rules are in force.', {code: 'not_ready'});
    }
    const {rules, revision} = inForce;
    const {options} = explainOptions(rules, keeper.content(), scope);
    return {revision, options};
  };
}
