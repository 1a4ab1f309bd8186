import {createHash} from 'node:crypto';
import {
  RouterError,
  isRouterError,
  type CallResult,
  type ServiceRule,
} from '@anvilrudder/core';
import type {ServiceResponse} from '@anvilrudder/clients';
import type {ClaimRunner} from '../entry_context.js';
import type {ServiceRequest} from '../stages/caller_request.js';
import type {ClaimManager} from './claims/claim_manager.js';

const CONTENT_TYPE = 'application/json';

/**
 * Creates the runner of service calls. A non-idempotent call with an
 * idempotency key needs a claim. Every other call is sent directly: without a
 * key, a repeated call cannot be told from a new one.
 *
 * @example
 * ```ts
 * const answer = await runner.run(request, rule, () => callServers());
 * ```
 */
export function createClaimRunner(claimManager: ClaimManager): ClaimRunner {
  return {
    async run(request, rule, call) {
      const {idempotencyKey} = request;
      if (rule.isIdempotent || idempotencyKey === undefined) return call();
      return runClaimed(claimManager, {...request, idempotencyKey}, rule, call);
    },
  };
}

async function runClaimed(
  claimManager: ClaimManager,
  request: ServiceRequest & {readonly idempotencyKey: string},
  rule: ServiceRule,
  call: () => Promise<ServiceResponse>,
): Promise<ServiceResponse> {
  let failure: RouterError | undefined;
  const send = async (): Promise<CallResult> => {
    try {
      const {status, body, contentType = CONTENT_TYPE} = await call();
      return {
        status: 'answered',
        answer: {httpStatus: status, body, contentType},
      };
    } catch (error) {
      if (!isRouterError(error)) throw error;
      failure = error;
      const isNotRun = error.execution === 'notRun';
      return {status: isNotRun ? 'notRun' : 'unknown'};
    }
  };
  try {
    const {answer} = await claimManager.runOnce({
      idempotencyKey: request.idempotencyKey,
      organisation: request.organisation,
      requestDigest: digestRequest(request),
      deadlineMs: request.receivedAtMs + rule.timeoutMs,
      send,
    });
    return {
      status: answer.httpStatus,
      contentType: answer.contentType,
      body: answer.body ?? '{}',
    };
  } catch (error) {
    throw failure ?? error;
  }
}

function digestRequest(request: ServiceRequest): string {
  return createHash('sha256')
    .update(`${request.service}\n${request.body}`)
    .digest('hex');
}
