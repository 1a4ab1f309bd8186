import {formatModelVersion, verifySession} from '@anvilrudder/core';
import type {EntryContext} from '../entry_context.js';
import type {AnswerWriter} from '../server/answer_writer.js';
import {admitRequest} from './admit.js';
import {resolveOrganisation} from './authenticate.js';
import type {GenerateRequest, RawRequest} from './caller_request.js';
import {startDeadline} from './deadline.js';
import {runPlan} from './cascade.js';
import {parseGenerateBody} from './parse_request.js';
import {resolveRequestKind, resolveRoute} from './route.js';
import {issueSessionToken, settleGeneration} from './settle.js';

/**
 * Serves one generation request through its stages: parse, authenticate,
 * admit, route, dispatch, relay, settle.
 *
 * @throws RouterError when the request ends without a whole answer.
 * @example
 * ```ts
 * await serveGenerate(context, raw, answer);
 * ```
 */
export async function serveGenerate(
  context: EntryContext,
  raw: RawRequest,
  answer: AnswerWriter,
): Promise<void> {
  const request = createGenerateRequest(context, raw);
  const release = admitRequest(context, request);
  const deadline = startDeadline(request.deadlineAtMs, raw.signal);
  try {
    await serveAdmitted(context, {...request, signal: deadline.signal}, answer);
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

async function serveAdmitted(
  context: EntryContext,
  request: GenerateRequest,
  answer: AnswerWriter,
): Promise<void> {
  const plan = resolveRoute(context, request);
  const outcome = await runPlan(context, request, plan, answer);
  await settleGeneration(context, request, plan, outcome);
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
  await answer.writeEvent('done', {
    requestId: request.requestId,
    engineRequestId: outcome.result.engineRequestId,
    model,
    version,
    tokenCount: outcome.result.tokenCount,
    session: issueSessionToken(context, request, plan.steps),
  });
  answer.endStream();
}
