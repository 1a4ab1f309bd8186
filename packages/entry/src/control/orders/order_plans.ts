import {
  RouterError,
  type MemberId,
  type ObjectStore,
  type PlannedStep,
} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';
import type {AuditTrail} from '../audit/audit_trail.js';
import {createDutyRunner} from '../leases/duty_runner.js';
import {createLeaseManager} from '../leases/lease_manager.js';
import {
  createRolloutRunner,
  type EngineOrderClient,
  type OrderEvent,
  type RolloutProgress,
} from './rollout_runner.js';

const CURRENT_PLAN_KEY = 'orders/current';
const ADVANCE_PERIOD_MS = 2000;
const RETRY_AFTER_MS = 2000;
const MAX_WRITE_ATTEMPTS = 5;

/** Options of {@link startOrderPlans}. */
export interface OrderPlansOptions {
  readonly store: ObjectStore;
  readonly member: MemberId;
  readonly engines: EngineOrderClient;
  readonly audit: AuditTrail;
  readonly logger: Logger;
  /** Returns the revision of the rules, for the audit trail. */
  readonly readRevision: () => number;
}

/** An order plan submitted by an operator. */
export interface OrderPlanRequest {
  /** Chosen by the operator; a repeated submission repeats no orders. */
  readonly planId: string;
  readonly steps: readonly PlannedStep[];
  readonly who: string;
  readonly why: string;
}

/** Progress of an order plan. */
export interface OrderPlanStatus extends RolloutProgress {
  readonly planId: string;
}

/** The order plans of the deployment, of which one at a time is current. */
export interface OrderPlans {
  /**
   * Makes a plan the current one. Any entry may carry it out.
   *
   * @throws RouterError `platform_unavailable` when a write failed; the call
   * can be repeated.
   */
  plan(request: OrderPlanRequest): Promise<OrderPlanStatus>;
  /** Returns the status of the current plan; undefined without a plan. */
  current(): Promise<OrderPlanStatus | undefined>;
  /**
   * Cancels the orders of a plan that have not been applied.
   *
   * @throws RouterError `platform_unavailable` when some orders could not be
   * cancelled; the call can be repeated.
   */
  cancel(request: Omit<OrderPlanRequest, 'steps'>): Promise<OrderPlanStatus>;
  stop(): Promise<void>;
}

/**
 * Starts to carry out the current order plan whenever this entry holds the
 * lease for it. Only one plan is current at a time, so that an older plan does
 * not undo the orders of a newer one. A plan is stored as a rollout whose id is
 * the plan id.
 *
 * @example
 * ```ts
 * const orders = startOrderPlans(options);
 * await orders.plan({planId: 'load-v5', steps, who, why});
 * ```
 */
export function startOrderPlans(options: OrderPlansOptions): OrderPlans {
  const {store, member, engines, logger} = options;
  const lease = createLeaseManager({store, member, duty: 'orders'});
  const runner = createRolloutRunner({
    store,
    lease,
    engines,
    onEvent: event => recordOrderEvent(options, event),
  });
  const duty = createDutyRunner({
    lease,
    intervalMs: ADVANCE_PERIOD_MS,
    async run() {
      const planId = await readCurrentPlanId(store);
      if (planId === undefined) return;
      await runner.advance(planId);
      await runner.repair(planId);
    },
    onError: error => logger.warn('orders_failed', {reason: String(error)}),
  });
  duty.start();

  async function readStatus(planId: string): Promise<OrderPlanStatus> {
    const progress = await runner.readProgress(planId);
    if (progress === undefined) throw createUnavailableError();
    return {planId, ...progress};
  }

  return {
    async plan(request) {
      const {planId, steps} = request;
      const isWritten = await runner.plan(planId, steps);
      if (!isWritten) throw createUnavailableError();
      await writeCurrentPlanId(store, planId);
      recordOperatorAction(options, 'orders.plan', request);
      return readStatus(planId);
    },
    async current() {
      const planId = await readCurrentPlanId(store);
      return planId === undefined ? undefined : readStatus(planId);
    },
    async cancel(request) {
      const isDone = await runner.cancel(request.planId);
      if (!isDone) throw createUnavailableError();
      recordOperatorAction(options, 'orders.cancel', request);
      return readStatus(request.planId);
    },
    stop: () => duty.stop(),
  };
}

async function readCurrentPlanId(
  store: ObjectStore,
): Promise<string | undefined> {
  const object = await store.get(CURRENT_PLAN_KEY);
  return object?.value;
}

async function writeCurrentPlanId(
  store: ObjectStore,
  planId: string,
): Promise<void> {
  for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
    const object = await store.get(CURRENT_PLAN_KEY);
    if (object?.value === planId) return;
    const result = await store.put(
      CURRENT_PLAN_KEY,
      planId,
      object === undefined
        ? {kind: 'absent'}
        : {kind: 'version', version: object.version},
    );
    if (result.status === 'written') return;
  }
  throw createUnavailableError();
}

function recordOperatorAction(
  options: OrderPlansOptions,
  action: string,
  request: Omit<OrderPlanRequest, 'steps'>,
): void {
  appendAuditRecord(options, {
    id: `${action}/${request.planId}`,
    action,
    who: request.who,
    why: request.why,
    outcome: request.planId,
  });
}

function recordOrderEvent(options: OrderPlansOptions, event: OrderEvent): void {
  const {step, outcome, fencing} = event;
  const {rolloutId, index, engine} = step;
  options.logger.info('engine_ordered', {
    planId: rolloutId,
    step: index,
    server: engine,
    outcome,
    fencing,
  });
  appendAuditRecord(options, {
    id: `order/${rolloutId}/${index}/${fencing}/${outcome}`,
    action: 'orders.step',
    who: options.member.host,
    why: `plan ${rolloutId}`,
    outcome: `${engine} ${outcome}`,
  });
}

interface PartialAuditRecord {
  readonly id: string;
  readonly action: string;
  readonly who: string;
  readonly why: string;
  readonly outcome: string;
}

function appendAuditRecord(
  options: OrderPlansOptions,
  record: PartialAuditRecord,
): void {
  const revision = options.readRevision();
  options.audit
    .append({
      ...record,
      timeMs: Date.now(),
      host: options.member.host,
      beforeRevision: revision,
      afterRevision: revision,
    })
    .catch(() => undefined);
}

function createUnavailableError(): RouterError {
  return RouterError.create('The object API gave no answer; repeat the call.', {
    code: 'platform_unavailable',
    execution: 'unknown',
    retryAfterMs: RETRY_AFTER_MS,
  });
}
