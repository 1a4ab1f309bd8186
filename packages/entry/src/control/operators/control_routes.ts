import {
  MAX_RULE_FILE_BYTES,
  parseModelVersion,
  type AuditFilter,
  type PlannedStep,
} from '@anvilrudder/core';
import {ControlService} from '@anvilrudder/peers';
import type * as wire from '@anvilrudder/peers';
import {
  Code,
  createContextKey,
  type ConnectError,
  type ConnectRouter,
  type Interceptor,
  type ServiceImpl,
} from '@connectrpc/connect';
import type {OrderPlans} from '../orders/order_plans.js';
import type {ApplyRulesRequest, RulesManager} from '../rules_manager.js';
import type {AuditReader} from './audit_reader.js';
import {createConnectError, toConnectError} from './connect_errors.js';
import {
  createOperatorDirectory,
  readBearerToken,
  type OperatorDirectory,
  type OperatorToken,
} from './operator_tokens.js';
import {createRulesExplainer, type Explainer} from './rules_explainer.js';
import type {
  VersionRulingService,
  VersionRulingRequest,
} from './version_ruling_service.js';
import {
  encodeAuditRecord,
  encodeOption,
  encodeOrderPlan,
  encodeOutcome,
  encodeStatus,
  encodeVersion,
} from './wire_messages.js';

/** Options of {@link createControlRoutes}. */
export interface ControlRoutesOptions {
  /** Name of the host of this entry, returned in the status. */
  readonly host: string;
  readonly rulesManager: RulesManager;
  readonly audit: AuditReader;
  readonly operatorTokens: readonly OperatorToken[];
  /** Rulings on model versions; undefined while the entry starts. */
  readonly versions?: () => VersionRulingService | undefined;
  /** Order plans; undefined while the entry starts. */
  readonly orders?: () => OrderPlans | undefined;
  /** Default {@link createRulesExplainer}. */
  readonly explain?: Explainer;
}

/** Registers the control service on a router. */
export type ControlRoutes = (router: ConnectRouter) => void;

/**
 * Maximum size of a control request: a rule file, and 64 KiB for the rest of
 * the message.
 */
export const MAX_CONTROL_REQUEST_BYTES = MAX_RULE_FILE_BYTES + 64 * 1024;

const MAX_ID_LENGTH = 128;
const MAX_TEXT_LENGTH = 1024;
const MAX_WITHOUT_HOSTS = 1000;
const DEFAULT_AUDIT_LIMIT = 100;
const MAX_AUDIT_LIMIT = 1000;
const ID_PATTERN = /^[\w.:-]+$/;
const NAME_PATTERN = /^[\w.:-]{1,64}$/;
// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTER = /[\u0000-\u001f\u007f]/;

/**
 * Creates the control service, which operators call. Every call requires the
 * bearer token of an operator; changes are recorded under the name of the
 * operator that the token belongs to.
 *
 * @example
 * ```ts
 * const handler = connectNodeAdapter({
 *   routes: createControlRoutes({host, rulesManager, audit, operatorTokens}),
 *   readMaxBytes: MAX_CONTROL_REQUEST_BYTES,
 * });
 * ```
 */
export function createControlRoutes(
  options: ControlRoutesOptions,
): ControlRoutes {
  const directory = createOperatorDirectory(options.operatorTokens);
  const interceptors = [createOperatorInterceptor(directory)];
  const service = createService(options);
  return router => {
    router.service(ControlService, service, {interceptors});
  };
}

const operatorKey = createContextKey('', {description: 'operator'});

function createOperatorInterceptor(directory: OperatorDirectory): Interceptor {
  return next => async request => {
    const token = readBearerToken(request.header.get('authorization'));
    const operator =
      token === undefined ? undefined : directory.findOperator(token);
    if (operator === undefined) {
      throw createConnectError(
        'The operator token is missing or unknown.',
        Code.Unauthenticated,
        'unauthenticated',
      );
    }
    request.contextValues.set(operatorKey, operator);
    try {
      return await next(request);
    } catch (error) {
      throw toConnectError(error);
    }
  };
}

function createService(
  options: ControlRoutesOptions,
): ServiceImpl<typeof ControlService> {
  const {host, rulesManager, audit} = options;
  const explain = options.explain ?? createRulesExplainer(rulesManager);
  return {
    async applyRules(request, context) {
      const change = decodeApplyRulesRequest(
        request,
        context.values.get(operatorKey),
      );
      const outcome = await rulesManager.apply(change);
      return {outcome: encodeOutcome(outcome)};
    },
    async getChange({changeId}) {
      checkId(changeId);
      const outcome = await rulesManager.findChange(changeId);
      return outcome === undefined ? {} : {outcome: encodeOutcome(outcome)};
    },
    getStatus() {
      return encodeStatus(host, rulesManager.status());
    },
    getRules() {
      const revision = BigInt(rulesManager.status().revision);
      return {revision, content: rulesManager.content()};
    },
    async listAudit(request) {
      const records = await audit.list(decodeAuditFilter(request));
      return {records: records.map(encodeAuditRecord)};
    },
    listVersions() {
      const statuses = resolveVersionRulings(options).list();
      return {versions: statuses.map(encodeVersion)};
    },
    async ruleVersion(request, context) {
      const order = decodeRulingRequest(
        request,
        context.values.get(operatorKey),
      );
      const status = await resolveVersionRulings(options).rule(order);
      return {version: encodeVersion(status)};
    },
    async planOrders({planId, states, why}, context) {
      checkId(planId);
      checkText('why', why);
      const status = await resolveOrderPlans(options).plan({
        planId,
        steps: states.map(decodePlannedStep),
        who: context.values.get(operatorKey),
        why,
      });
      return {plan: encodeOrderPlan(status)};
    },
    async getOrders() {
      const status = await resolveOrderPlans(options).current();
      return status === undefined ? {} : {plan: encodeOrderPlan(status)};
    },
    async cancelOrders({planId, why}, context) {
      checkId(planId);
      checkText('why', why);
      const who = context.values.get(operatorKey);
      const status = await resolveOrderPlans(options).cancel({
        planId,
        who,
        why,
      });
      return {plan: encodeOrderPlan(status)};
    },
    explain({organisation, kind}) {
      const {revision, options: explained} = explain({organisation, kind});
      return {
        revision: BigInt(revision),
        options: explained.map(encodeOption),
      };
    },
  };
}

function resolveOrderPlans(options: ControlRoutesOptions): OrderPlans {
  const orders = options.orders?.();
  if (orders !== undefined) return orders;
  throw createConnectError(
    'This entry carries out no orders yet.',
    Code.Unavailable,
    'not_ready',
  );
}

function decodePlannedStep(state: wire.EngineState): PlannedStep {
  checkText('engine', state.engine);
  const loaded = state.loaded.map(name => {
    const version = parseModelVersion(name);
    if (version !== undefined) return version;
    throw createInvalidRequestError(
      'loaded versions are written model@version.',
    );
  });
  return {
    engine: state.engine,
    wanted: {loaded, isDraining: state.isDraining},
  };
}

function resolveVersionRulings(
  options: ControlRoutesOptions,
): VersionRulingService {
  const versions = options.versions?.();
  if (versions !== undefined) return versions;
  throw createConnectError(
    'This entry does not decide on versions yet.',
    Code.Unavailable,
    'not_ready',
  );
}

function decodeRulingRequest(
  request: wire.RuleVersionRequest,
  who: string,
): VersionRulingRequest {
  const {model, version, state, why} = request;
  if (state !== 'stopped' && state !== 'allowed') {
    throw createInvalidRequestError('state must be stopped or allowed.');
  }
  if (!NAME_PATTERN.test(model) || !NAME_PATTERN.test(version)) {
    throw createInvalidRequestError(
      'model and version must be names of rules.',
    );
  }
  checkText('why', why);
  return {model, version, state, who, why};
}

function decodeApplyRulesRequest(
  request: wire.ApplyRulesRequest,
  operator: string,
): ApplyRulesRequest {
  const {changeId, who, why, content, withoutHosts} = request;
  if (who !== '' && who !== operator) {
    throw createConnectError(
      `The token belongs to ${operator}, not to ${JSON.stringify(who)}.`,
      Code.PermissionDenied,
      'not_allowed',
    );
  }
  checkId(changeId);
  checkText('why', why);
  if (Buffer.byteLength(content) > MAX_RULE_FILE_BYTES) {
    throw createInvalidRequestError(
      `content exceeds ${MAX_RULE_FILE_BYTES} bytes.`,
    );
  }
  if (withoutHosts.length > MAX_WITHOUT_HOSTS) {
    throw createInvalidRequestError(
      `without_hosts exceeds ${MAX_WITHOUT_HOSTS} hosts.`,
    );
  }
  for (const withoutHost of withoutHosts) {
    checkText('without_hosts', withoutHost);
  }
  return {
    changeId,
    who: operator,
    why,
    content,
    baseRevision: decodeInteger('base_revision', request.baseRevision),
    withoutHosts,
  };
}

function decodeAuditFilter(request: wire.ListAuditRequest): AuditFilter {
  const {who, action, limit} = request;
  return {
    who: who === '' ? undefined : who,
    action: action === '' ? undefined : action,
    afterSequence: decodeInteger('after_sequence', request.afterSequence),
    limit: Math.min(limit === 0 ? DEFAULT_AUDIT_LIMIT : limit, MAX_AUDIT_LIMIT),
  };
}

function decodeInteger(field: string, value: bigint): number {
  if (value <= BigInt(Number.MAX_SAFE_INTEGER)) return Number(value);
  throw createInvalidRequestError(`${field} is too large.`);
}

function checkId(id: string): void {
  if (id.length <= MAX_ID_LENGTH && ID_PATTERN.test(id)) return;
  throw createInvalidRequestError(
    `change_id must be 1 to ${MAX_ID_LENGTH} letters, digits and ._:-`,
  );
}

function checkText(field: string, text: string): void {
  const isValid =
    text.trim() !== '' &&
    text.length <= MAX_TEXT_LENGTH &&
    !CONTROL_CHARACTER.test(text);
  if (isValid) return;
  throw createInvalidRequestError(
    `${field} must be one line of 1 to ${MAX_TEXT_LENGTH} characters.`,
  );
}

function createInvalidRequestError(message: string): ConnectError {
  return createConnectError(message, Code.InvalidArgument, 'invalid_request');
}
