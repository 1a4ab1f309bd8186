import {
  RouterError,
  resolveService,
  type ErrorCode,
  type Execution,
  type ServiceRule,
} from '@anvilrudder/core';
import {
  isBackendError,
  type BackendError,
  type ServiceResponse,
} from '@anvilrudder/clients';
import {createPreSendCheck, mayHaveRun} from '../backends/pre_send_check.js';
import type {EntryContext} from '../entry_context.js';
import type {ResponseWriter} from '../server/response_writer.js';
import {admitRequest} from './admit.js';
import {resolveOrganisation} from './authenticate.js';
import type {RawRequest, ServiceRequest} from './caller_request.js';
import {assertServiceAllowed, resolveRulesInForce} from './check_rules.js';
import {parseIdempotencyKey, parseJson} from './parse_request.js';
import {billServiceCall} from './complete_request.js';

const RETRY_AFTER_MS = 1000;
const MAX_ATTEMPTS = 3;
const SERVICE_PATHS: Readonly<Record<string, string>> = {
  booking: '/v1/confirmations',
};

/**
 * Serves one call of a service that is not a model engine, such as `booking`.
 *
 * @throws RouterError when the call is refused or gets no response from the
 *     service.
 * @example
 * ```ts
 * await serveServiceCall(context, 'booking', raw, writer);
 * ```
 */
export async function serveServiceCall(
  context: EntryContext,
  service: string,
  raw: RawRequest,
  writer: ResponseWriter,
): Promise<void> {
  const request = createServiceRequest(context, service, raw);
  const rule = resolveServiceRule(context, service);
  assertServiceAllowed(context.rulesManager, request);
  const release = admitRequest(context, request.organisation);
  const result = await context.claims
    .run(request, rule, () => callServers(context, request, rule))
    .finally(release);
  context.metrics.count('service_calls_total', {service});
  writer.writeRawJson(result.status, result.body);
}

function createServiceRequest(
  context: EntryContext,
  service: string,
  raw: RawRequest,
): ServiceRequest {
  const organisation = resolveOrganisation(
    context.callers,
    raw.headers.authorization,
  );
  parseJson(raw.body);
  return {
    requestId: raw.requestId,
    organisation,
    service,
    idempotencyKey: parseIdempotencyKey(raw.headers['idempotency-key']),
    body: raw.body,
    receivedAtMs: raw.receivedAtMs,
    signal: raw.signal,
  };
}

function resolveServiceRule(
  context: EntryContext,
  service: string,
): ServiceRule {
  const {rules} = resolveRulesInForce(context.rulesManager);
  const rule = resolveService(rules, service);
  if (rule === undefined) {
    throw RouterError.create(`No rule names the service ${service}.`, {
      code: 'unknown_kind',
    });
  }
  return rule;
}

// A non-idempotent call is retried at another server only if no byte of it was
// sent or the server itself said that it did not execute the call.
async function callServers(
  context: EntryContext,
  request: ServiceRequest,
  rule: ServiceRule,
): Promise<ServiceResponse> {
  const failures: BackendError[] = [];
  const excluded = new Set<string>();
  for (let number = 0; number < MAX_ATTEMPTS; number += 1) {
    const server = context.backends
      .listAvailable(request.service)
      .filter(view => !excluded.has(view.host.host))
      .sort((a, b) => a.inFlight - b.inFlight)[0];
    if (server === undefined) break;
    const close = context.backends.trackRequest(server.host.host);
    const sendCheck = createPreSendCheck(() =>
      assertServiceAllowed(context.rulesManager, request),
    );
    try {
      const response = await context.services.call(server.host.address, {
        path: SERVICE_PATHS[request.service] ?? `/v1/${request.service}`,
        body: request.body,
        idempotencyKey: request.idempotencyKey,
        timeoutMs: rule.timeoutMs,
        signal: request.signal,
        confirmSend: sendCheck.confirmSend,
      });
      await billServiceCall(context, request);
      return response;
    } catch (error) {
      sendCheck.rethrowRefusal(error);
      if (!isBackendError(error)) throw error;
      failures.push(error);
      excluded.add(server.host.host);
      if (mayHaveRun([error]) && !rule.isIdempotent) break;
    } finally {
      close();
    }
  }
  throw createCallError(request, failures);
}

function createCallError(
  request: ServiceRequest,
  failures: readonly BackendError[],
): RouterError {
  const cause = failures.at(-1);
  if (cause?.execution === 'ran') {
    return RouterError.create(
      `${request.service} ran the call and reported a failure.`,
      {code: 'backend_failed', cause},
    );
  }
  const isUnknown = mayHaveRun(failures);
  const code: ErrorCode = isUnknown
    ? 'outcome_unknown'
    : cause === undefined
      ? 'no_backend'
      : 'backend_refused';
  const execution: Execution = isUnknown ? 'unknown' : 'notRun';
  const reason = cause?.failure ?? 'no server in service';
  return RouterError.create(
    `The call of ${request.service} has no answer: ${reason}.`,
    {
      code,
      execution,
      cause,
      ...(isUnknown
        ? {}
        : {retryAfterMs: cause?.retryAfterMs ?? RETRY_AFTER_MS}),
    },
  );
}
