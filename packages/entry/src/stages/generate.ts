import {
  formatModelVersion,
  isRouterError,
  verifySession,
  type ErrorCode,
  type ModelVersion,
} from '@anvilrudder/core';
import type {EntryContext} from '../entry_context.js';
import type {ResponseWriter} from '../server/response_writer.js';
import {admitRequest} from './admit.js';
import {resolveOrganisation} from './authenticate.js';
import type {GenerateRequest, RawRequest} from './caller_request.js';
import {startDeadline} from './deadline.js';
import {runPlan, type PlanOutcome} from './cascade.js';
import {parseGenerateBody} from './parse_request.js';
import {resolveRequestKind, resolveRoute, type RoutePlan} from './route.js';
import {recordOutcome} from './record_outcome.js';
import {issueSessionToken, billGeneration} from './complete_request.js';

const MAX_ROUTES = 3;

/**
 * Serves one generation request through its stages: authenticate, parse, admit,
 * route, dispatch, stream the tokens, bill.
 *
 * @throws RouterError when the request ends without a complete response.
 * @example
 * ```ts
 * await serveGenerate(context, raw, writer);
 * ```
 */
export async function serveGenerate(
  context: EntryContext,
  raw: RawRequest,
  writer: ResponseWriter,
): Promise<void> {
  const request = createGenerateRequest(context, raw);
  const release = admitRequest(context, request.organisation);
  const deadline = startDeadline(request.deadlineAtMs, raw.signal);
  try {
    await serveAdmitted(context, {...request, signal: deadline.signal}, writer);
  } finally {
    deadline.clear();
    release();
  }
}

function createGenerateRequest(
  context: EntryContext,
  raw: RawRequest,
): GenerateRequest {
  const organisation = resolveOrganisation(
    context.callers,
    raw.headers.authorization,
  );
  const body = parseGenerateBody(raw.body, context.settings);
  const session =
    body.sessionToken === undefined
      ? undefined
      : verifySession(body.sessionToken, organisation, context.sessionKeys);
  const kind = resolveRequestKind(context, organisation, body.kind);
  return {
    ...body,
    requestId: raw.requestId,
    organisation,
    session,
    qualityTarget: kind.qualityTarget,
    priority: kind.priority,
    issuesSession: kind.issuesSession,
    receivedAtMs: raw.receivedAtMs,
    deadlineAtMs: raw.receivedAtMs + (body.deadlineMs ?? kind.deadlineMs),
    signal: raw.signal,
  };
}

interface RoutedOutcome {
  readonly plan: RoutePlan;
  readonly outcome: PlanOutcome;
}

// Between the choice of a route and its first byte the rules may change, or all
// servers of the version may become unavailable. A request whose versions the
// chooser has set is then routed again; one with pinned or explicit versions
// has no other route.
async function runWithRerouting(
  context: EntryContext,
  request: GenerateRequest,
  writer: ResponseWriter,
): Promise<RoutedOutcome> {
  const failed: ModelVersion[] = [];
  let firstError: unknown;
  for (let attempt = 1; ; attempt += 1) {
    const plan = resolveNextRoute(context, request, failed, firstError);
    try {
      const outcome = await runPlan(context, request, plan, writer);
      return {plan, outcome};
    } catch (error) {
      const mayReroute =
        plan.source === 'chosen' &&
        attempt < MAX_ROUTES &&
        !writer.isStreaming &&
        isReroutable(error);
      if (!mayReroute) throw error;
      failed.push(...plan.steps);
      firstError ??= error;
    }
  }
}

// When there is no further route, throws the error of the first one.
function resolveNextRoute(
  context: EntryContext,
  request: GenerateRequest,
  failed: readonly ModelVersion[],
  firstError: unknown,
): RoutePlan {
  try {
    return resolveRoute(context, request, failed);
  } catch (error) {
    throw firstError ?? error;
  }
}

const REROUTABLE_CODES: ReadonlySet<ErrorCode> = new Set([
  'version_withdrawn',
  'not_allowed',
  'no_backend',
  'backend_refused',
]);

function isReroutable(error: unknown): boolean {
  return (
    isRouterError(error) &&
    error.execution === 'notRun' &&
    REROUTABLE_CODES.has(error.code)
  );
}

async function serveAdmitted(
  context: EntryContext,
  request: GenerateRequest,
  writer: ResponseWriter,
): Promise<void> {
  const {plan, outcome} = await runWithRerouting(context, request, writer);
  await billGeneration(context, request, plan, outcome);
  recordOutcome(context, request, outcome);
  const {model, version} = outcome.answered;
  context.logger.info('request_settled', {
    requestId: request.requestId,
    organisation: request.organisation,
    kind: request.kind,
    revision: plan.revision,
    version: formatModelVersion(outcome.answered),
    steps: outcome.steps.length,
    tokens: outcome.result.tokenCount,
    durationMs: Math.round(performance.now() - request.receivedAtMs),
  });
  await writer.writeEvent('done', {
    requestId: request.requestId,
    engineRequestId: outcome.result.engineRequestId,
    model,
    version,
    tokenCount: outcome.result.tokenCount,
    session: issueSessionToken(context, request, plan.steps),
  });
  writer.endStream();
}
