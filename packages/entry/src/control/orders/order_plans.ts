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

const CURRENT_KEY = 'orders/current';
const ADVANCE_PERIOD_MS = 2000;
const RETRY_AFTER_MS = 2000;
const MAX_ATTEMPTS = 5;

/** Options of {@link startOrderPlans}. */
export interface OrderPlansOptions {
  readonly store: ObjectStore;
  readonly member: MemberId;
  readonly engines: EngineOrderClient;
  readonly audit: AuditTrail;
  readonly logger: Logger;
  /** Revision of the rules, for the audit trail. */
  readonly readRevision: () => number;
}

/** A plan of orders as an operator gives it. */
export interface OrderPlanRequest {
  /** Chosen by the operator; repeating it repeats nothing. */
  readonly planId: string;
  readonly steps: readonly PlannedStep[];
  readonly who: string;
  readonly why: string;
}

/** How far a plan is. */
export interface OrderPlanStatus extends RolloutProgress {
  readonly planId: string;
}

/** The plan of orders to engines that the deployment carries out. */
export interface OrderPlans {
  /**
   * Makes a plan the current one; any entry carries it out.
   *
   * @throws RouterError `platform_unavailable`.
   */
  plan(request: OrderPlanRequest): Promise<OrderPlanStatus>;
  /** Undefined without a plan. */
  current(): Promise<OrderPlanStatus | undefined>;
  /** Cancels the orders of a plan that are not applied. */
  cancel(request: Omit<OrderPlanRequest, 'steps'>): Promise<OrderPlanStatus>;
  stop(): Promise<void>;
}

/**
 * Starts to carry out the current plan of orders while this entry holds the
 * lease of that duty. One plan is current at a time, so that no older plan
 * undoes what a newer one ordered.
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
    onEvent: event => recordEvent(options, event),
  });
  const duty = createDutyRunner({
    lease,
    intervalMs: ADVANCE_PERIOD_MS,
    async run() {
      const planId = await readCurrent(store);
      if (planId === undefined) return;
      await runner.advance(planId);
      await runner.repair(planId);
    },
    onError: error => logger.warn('orders_failed', {reason: String(error)}),
  });
  duty.start();

  async function describe(planId: string): Promise<OrderPlanStatus> {
    const steps = await runner.readProgress(planId);
    if (steps === undefined) throw createUnavailableError();
    return {planId, ...steps};
  }

  return {
    async plan(request) {
      const {planId, steps} = request;
      const isWritten = await runner.plan(planId, steps);
      if (!isWritten) throw createUnavailableError();
      await writeCurrent(store, planId);
      recordOrder(options, 'orders.plan', request);
      return describe(planId);
    },
    async current() {
      const planId = await readCurrent(store);
      return planId === undefined ? undefined : describe(planId);
    },
    async cancel(request) {
      const isDone = await runner.cancel(request.planId);
      if (!isDone) throw createUnavailableError();
      recordOrder(options, 'orders.cancel', request);
      return describe(request.planId);
    },
    stop: () => duty.stop(),
  };
}

async function readCurrent(store: ObjectStore): Promise<string | undefined> {
  const object = await store.get(CURRENT_KEY);
  return object?.value;
}

async function writeCurrent(store: ObjectStore, planId: string): Promise<void> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const object = await store.get(CURRENT_KEY);
    if (object?.value === planId) return;
    const result = await store.put(
      CURRENT_KEY,
      planId,
      object === undefined
        ? {kind: 'absent'}
        : {kind: 'version', version: object.version},
    );
    if (result.status === 'written') return;
  }
  throw createUnavailableError();
}

function recordOrder(
  options: OrderPlansOptions,
  action: string,
  request: Omit<OrderPlanRequest, 'steps'>,
): void {
  append(options, {
    id: `${action}/${request.planId}`,
    action,
    who: request.who,
    why: request.why,
    outcome: request.planId,
  });
}

function recordEvent(options: OrderPlansOptions, event: OrderEvent): void {
  const {step, outcome, fencing} = event;
  const {rolloutId, index, engine} = step;
  options.logger.info('engine_ordered', {
    planId: rolloutId,
    step: index,
    server: engine,
    outcome,
    fencing,
  });
  append(options, {
    id: `order/${rolloutId}/${index}/${fencing}/${outcome}`,
    action: 'orders.step',
    who: options.member.host,
    why: `plan ${rolloutId}`,
    outcome: `${engine} ${outcome}`,
  });
}

interface OrderRecord {
  readonly id: string;
  readonly action: string;
  readonly who: string;
  readonly why: string;
  readonly outcome: string;
}

function append(options: OrderPlansOptions, record: OrderRecord): void {
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
