import {
  RouterError,
  findPin,
  formatModelVersion,
  isSameModelVersion,
  isWithdrawn,
  listPinnedVersions,
  parseModelVersion,
  resolveCascade,
  resolveKind,
  type ModelOption,
  type ModelVersion,
  type ResolvedKind,
  type RuleSet,
} from '@anvilrudder/core';
import type {RulesInForce} from '../control/rules_manager.js';
import type {EntryContext} from '../entry_context.js';
import type {GenerateRequest} from './caller_request.js';
import {
  createWithdrawnError,
  listRuleSets,
  resolveRulesInForce,
} from './check_rules.js';
import {resolveModelOptions} from './model_options.js';

const NO_BACKEND_RETRY_MS = 2000;

/** What determined the versions: the request, its session or the chooser. */
export type PlanSource = 'explicit' | 'session' | 'chosen';

/** The model versions to run for a request, in order, cheapest first. */
export interface RoutePlan {
  readonly revision: number;
  /** The rules of that revision. */
  readonly rules: RuleSet;
  readonly source: PlanSource;
  readonly steps: readonly ModelVersion[];
  /**
   * One for each step but the last: the response of the step is final when its
   * check score is at least this value.
   */
  readonly checkThresholds: readonly number[];
}

type PlannedSteps = Pick<RoutePlan, 'steps' | 'checkThresholds'>;

interface PlanInput {
  readonly context: EntryContext;
  readonly request: GenerateRequest;
  /** Versions of earlier routes of the request that failed. */
  readonly failed: readonly ModelVersion[];
  readonly options: readonly ModelOption[];
  /** Models that may be tried in turn, cheapest first. */
  readonly cascadeModels: readonly string[];
}

/**
 * Resolves the kind of a request according to the rules in force.
 *
 * @throws RouterError `not_ready` or `unknown_kind`.
 * @example
 * ```ts
 * const kind = resolveRequestKind(context, 'school-a', 'icebreaker');
 * ```
 */
export function resolveRequestKind(
  context: EntryContext,
  organisation: string,
  kindName: string,
): ResolvedKind {
  const {rules} = resolveRulesInForce(context.rulesManager);
  const kind = resolveKind(rules, organisation, kindName);
  if (kind === undefined) {
    throw RouterError.create(`No rule names the kind ${kindName}.`, {
      code: 'unknown_kind',
    });
  }
  return kind;
}

/**
 * Chooses the models and versions of a request according to the rules in force.
 *
 * @param failed Versions of earlier routes of the request that failed.
 * @throws RouterError `not_ready`, `unknown_model`, `invalid_request`,
 *     `not_allowed`, `no_backend` or `version_withdrawn`.
 * @example
 * ```ts
 * const plan = resolveRoute(context, request);
 * ```
 */
export function resolveRoute(
  context: EntryContext,
  request: GenerateRequest,
  failed: readonly ModelVersion[] = [],
): RoutePlan {
  const inForce = resolveRulesInForce(context.rulesManager);
  const {revision, rules} = inForce;
  const source = resolvePlanSource(request);
  const plan = PLAN_HANDLERS[source]({
    context,
    request,
    failed,
    options: listOptionsWithinRollouts(context, inForce, request),
    cascadeModels: resolveCascade(rules, request.kind)?.models ?? [],
  });
  return {revision, rules, source, ...plan};
}

function resolvePlanSource(request: GenerateRequest): PlanSource {
  if (request.model !== undefined) return 'explicit';
  const pin = request.session && findPin(request.session, request.kind);
  return pin === undefined ? 'chosen' : 'session';
}

const PLAN_HANDLERS: Readonly<
  Record<PlanSource, (input: PlanInput) => PlannedSteps>
> = {
  explicit: planExplicit,
  session: planPinned,
  chosen: planChosen,
};

function planExplicit(input: PlanInput): PlannedSteps {
  const {model = '', version = ''} = input.request;
  const wanted = {model, version};
  assertNotWithdrawn(input.context, wanted);
  const rules = resolveRulesInForce(input.context.rulesManager).rules;
  const isKnown = rules.models.some(
    rule => rule.model === model && rule.version === version,
  );
  if (!isKnown) {
    throw RouterError.create(`No rule names ${formatModelVersion(wanted)}.`, {
      code: 'unknown_model',
    });
  }
  assertPinnedVersion(input.request, wanted);
  if (!input.options.some(option => isSameModelVersion(option, wanted))) {
    throw createNotAllowedError(input.request);
  }
  return {steps: [wanted], checkThresholds: []};
}

function planPinned(input: PlanInput): PlannedSteps {
  const {request, context, options} = input;
  const pin = request.session && findPin(request.session, request.kind);
  const steps = (pin?.steps ?? []).flatMap(
    step => parseModelVersion(step) ?? [],
  );
  const remaining = steps.filter(step => !isWithdrawnNow(context, step));
  if (remaining.length === 0) throw createWithdrawnError(steps[0]);
  const allowed = remaining.filter(step =>
    options.some(option => isSameModelVersion(option, step)),
  );
  if (allowed.length === 0) throw createNotAllowedError(request);
  return {
    steps: allowed,
    checkThresholds: allowed.slice(1).map(() => request.qualityTarget),
  };
}

function planChosen(input: PlanInput): PlannedSteps {
  const {context, request, options, cascadeModels, failed} = input;
  const plan = context.decisions.chooser.choose({
    organisation: request.organisation,
    kind: request.kind,
    key: request.session?.sessionId ?? request.requestId,
    qualityTarget: request.qualityTarget,
    options: listSessionOptions(request, options),
    cascadeModels,
    excluded: [...failed, ...listUnavailable(context, options)],
  });
  if (plan !== undefined) return plan;
  if (options.length === 0) throw createNotAllowedError(request);
  throw RouterError.create(
    `No backend server in service has a model for ${request.kind}.`,
    {code: 'no_backend', retryAfterMs: NO_BACKEND_RETRY_MS},
  );
}

// A session keeps the version of each model that it has used. For other models
// it has the same options as a request without a session.
function listSessionOptions(
  request: GenerateRequest,
  options: readonly ModelOption[],
): readonly ModelOption[] {
  if (request.session === undefined) return options;
  const pinned = listPinnedVersions(request.session);
  return options.flatMap(option => {
    const version = pinned.get(option.model);
    if (version === undefined) return [option];
    return version === option.version ? [{...option, share: 1}] : [];
  });
}

function listUnavailable(
  context: EntryContext,
  options: readonly ModelOption[],
): readonly ModelVersion[] {
  return options.filter(
    option =>
      context.decisions.rollouts.isStopped(option) ||
      context.decisions.engines.countAvailable(option) === 0,
  );
}

function listOptionsWithinRollouts(
  context: EntryContext,
  inForce: RulesInForce,
  request: GenerateRequest,
): readonly ModelOption[] {
  return context.decisions.rollouts.limitShares(
    resolveModelOptions(inForce, request),
    inForce.rules.rollouts,
  );
}

function isWithdrawnNow(context: EntryContext, wanted: ModelVersion): boolean {
  const ruleSets = listRuleSets(resolveRulesInForce(context.rulesManager));
  return (
    context.decisions.rollouts.isStopped(wanted) ||
    ruleSets.some(rules => isWithdrawn(rules, wanted))
  );
}

function assertNotWithdrawn(context: EntryContext, wanted: ModelVersion): void {
  if (isWithdrawnNow(context, wanted)) throw createWithdrawnError(wanted);
}

function assertPinnedVersion(
  request: GenerateRequest,
  wanted: ModelVersion,
): void {
  if (request.session === undefined) return;
  const version = listPinnedVersions(request.session).get(wanted.model);
  if (version === undefined || version === wanted.version) return;
  throw RouterError.create(
    `The session keeps ${wanted.model}@${version}; ask without its session for another version.`,
    {code: 'invalid_request'},
  );
}

function createNotAllowedError(request: GenerateRequest): RouterError {
  return RouterError.create(
    `No rule allows this organisation a model for ${request.kind}.`,
    {code: 'not_allowed'},
  );
}
