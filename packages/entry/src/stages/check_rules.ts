import {
  RouterError,
  formatModelVersion,
  isDispatchAllowed,
  isServiceAllowed,
  isWithdrawn,
  type ModelVersion,
  type RuleSet,
} from '@anvilrudder/core';
import type {RulesInForce, RulesManager} from '../control/rules_manager.js';

const NOT_READY_RETRY_MS = 1000;

/**
 * Returns the rules that a dispatch must satisfy at this moment.
 *
 * @throws RouterError `not_ready` while this entry has no confirmed rules.
 * @example
 * ```ts
 * const inForce = resolveRulesInForce(rulesManager);
 * ```
 */
export function resolveRulesInForce(rulesManager: RulesManager): RulesInForce {
  const inForce = rulesManager.inForce();
  if (inForce === undefined) {
    throw RouterError.create('This entry has no confirmed rules.', {
      code: 'not_ready',
      retryAfterMs: NOT_READY_RETRY_MS,
    });
  }
  return inForce;
}

/**
 * Lists the rule sets that a dispatch must satisfy: that of the revision in
 * force, then that of a pending change, if any.
 *
 * @example
 * ```ts
 * listRuleSets(inForce).every(rules => isDispatchAllowed(rules, dispatch));
 * ```
 */
export function listRuleSets(inForce: RulesInForce): readonly RuleSet[] {
  const {rules, pendingRules} = inForce;
  return pendingRules === undefined ? [rules] : [rules, pendingRules];
}

/** The properties of a generation attempt that the rules decide on. */
export interface DispatchScope extends ModelVersion {
  readonly organisation: string;
  readonly kind: string;
}

/**
 * Checks one attempt against the rules in force at this moment. It is called
 * for every first attempt, retry, cascade step and hedge, in the same turn of
 * the event loop in which the first byte is written.
 *
 * @throws RouterError `not_ready`, `version_withdrawn` or `not_allowed`.
 * @example
 * ```ts
 * assertDispatchAllowed(rulesManager, {organisation, kind, model, version});
 * ```
 */
export function assertDispatchAllowed(
  rulesManager: RulesManager,
  dispatch: DispatchScope,
): void {
  const ruleSets = listRuleSets(resolveRulesInForce(rulesManager));
  if (ruleSets.some(rules => isWithdrawn(rules, dispatch))) {
    throw createWithdrawnError(dispatch);
  }
  if (!ruleSets.every(rules => isDispatchAllowed(rules, dispatch))) {
    throw RouterError.create(
      `No rule allows ${formatModelVersion(dispatch)} for this organisation.`,
      {code: 'not_allowed'},
    );
  }
}

/**
 * Checks a service call against the rules in force at this moment.
 *
 * @throws RouterError `not_ready` or `not_allowed`.
 * @example
 * ```ts
 * assertServiceAllowed(rulesManager, {organisation, service: 'booking'});
 * ```
 */
export function assertServiceAllowed(
  rulesManager: RulesManager,
  call: {readonly organisation: string; readonly service: string},
): void {
  const ruleSets = listRuleSets(resolveRulesInForce(rulesManager));
  if (!ruleSets.every(rules => isServiceAllowed(rules, call))) {
    throw RouterError.create(
      `No rule allows service ${call.service} for this organisation.`,
      {code: 'not_allowed'},
    );
  }
}

/** Creates the error of a request for a version that has been withdrawn. */
export function createWithdrawnError(wanted: ModelVersion): RouterError {
  return RouterError.create(
    `${formatModelVersion(wanted)} was withdrawn; send the request without its session or version.`,
    {code: 'version_withdrawn'},
  );
}
