import {
  isStateReached,
  listLastApplied,
  listRolloutSteps,
  planRollout,
  readRolloutStep,
  recordRolloutStep,
  resolveOrderId,
  selectRolloutSteps,
  type ModelVersion,
  type ObjectStore,
  type PlannedStep,
  type RolloutStep,
  type RolloutStepState,
  type StoredRolloutStep,
  type WantedState,
} from '@anvilrudder/core';
import type {LeaseManager} from '../leases/lease_manager.js';
import {runStoreProtocol} from '../steps/run_store_protocol.js';

/** An order as sent to an engine. */
export interface EngineOrder {
  readonly fencing: number;
  /** The same for each repetition of the order. */
  readonly orderId: string;
  readonly wanted: WantedState;
}

/** Result of sending an order; a rejected call counts as `failed`. */
export type OrderResult = 'applied' | 'oldFencing' | 'failed';

/** The calls to engines that rollouts need. */
export interface EngineOrderClient {
  /**
   * Sends an order. Sending must begin synchronously, because the lease is
   * checked just before the call.
   */
  send(engine: string, order: EngineOrder): Promise<OrderResult>;
  /** Returns the versions that the engine reports; the report may be old. */
  listLoaded(engine: string): Promise<readonly ModelVersion[]>;
}

/** The outcome of an order, for the audit trail. */
export interface OrderEvent {
  readonly step: RolloutStep;
  readonly outcome: OrderResult | 'notHolder' | 'changed' | 'repaired';
  readonly fencing: number;
}

/** Options of {@link createRolloutRunner}. */
export interface RolloutRunnerOptions {
  readonly store: ObjectStore;
  readonly lease: LeaseManager;
  readonly engines: EngineOrderClient;
  /**
   * Maximum number of orders in progress, limited by the rate at which the
   * weight store can supply weights. Default 1.
   */
  readonly maxConcurrentLoads?: number;
  readonly onEvent?: (event: OrderEvent) => void;
}

/** Number of steps of a rollout by state. */
export interface RolloutProgress {
  readonly plannedCount: number;
  readonly appliedCount: number;
  readonly cancelledCount: number;
}

/**
 * Carries out rollouts while it holds the lease. The next holder of the lease
 * continues them.
 */
export interface RolloutRunner {
  /**
   * Writes the steps of a rollout. Returns false when a write failed; the call
   * has to be repeated with the same id.
   */
  plan(rolloutId: string, steps: readonly PlannedStep[]): Promise<boolean>;
  /**
   * Counts the steps by state. Returns undefined when the object API is
   * unavailable.
   */
  readProgress(rolloutId: string): Promise<RolloutProgress | undefined>;
  /**
   * Cancels the steps that have not been applied. Returns false when some could
   * not be cancelled; the call has to be repeated.
   */
  cancel(rolloutId: string): Promise<boolean>;
  /**
   * Sends the orders of the next steps. Returns the progress, or undefined when
   * the object API is unavailable.
   */
  advance(rolloutId: string): Promise<RolloutProgress | undefined>;
  /**
   * Compares the versions loaded by each engine with its last applied step, and
   * repeats the order where they differ. This limits how long an outdated order
   * stays in effect at an engine that ignores fencing numbers. Returns the
   * number of repeated orders that were applied.
   */
  repair(rolloutId: string): Promise<number>;
}

const DEFAULT_MAX_CONCURRENT_LOADS = 1;

/**
 * Creates a runner that carries out rollouts.
 *
 * @example
 * ```ts
 * const runner = createRolloutRunner({store, lease, engines});
 * await runner.plan('r-7', [{engine: 'runner-1', wanted}]);
 * await runner.advance('r-7');
 * ```
 */
export function createRolloutRunner(
  options: RolloutRunnerOptions,
): RolloutRunner {
  return StoreRolloutRunner.create(options);
}

class StoreRolloutRunner implements RolloutRunner {
  private readonly enginesInProgress = new Set<string>();

  private constructor(
    private readonly options: Required<RolloutRunnerOptions>,
  ) {}

  static create(options: RolloutRunnerOptions): StoreRolloutRunner {
    return new StoreRolloutRunner({
      maxConcurrentLoads: DEFAULT_MAX_CONCURRENT_LOADS,
      onEvent: () => undefined,
      ...options,
    });
  }

  async plan(
    rolloutId: string,
    steps: readonly PlannedStep[],
  ): Promise<boolean> {
    const protocol = planRollout(rolloutId, steps);
    return await runStoreProtocol(this.options.store, protocol);
  }

  async cancel(rolloutId: string): Promise<boolean> {
    const {store} = this.options;
    const steps = await runStoreProtocol(store, listRolloutSteps(rolloutId));
    if (steps === undefined) return false;
    let isDone = true;
    for (const {index, state} of steps) {
      if (state !== 'planned') continue;
      const stored = await runStoreProtocol(
        store,
        readRolloutStep(rolloutId, index),
      );
      if (stored?.step.state === 'applied') continue;
      const isCancelled =
        stored !== undefined &&
        (await runStoreProtocol(
          store,
          recordRolloutStep(stored, 'cancelled', 0),
        ));
      isDone = isDone && isCancelled;
    }
    return isDone;
  }

  async advance(rolloutId: string): Promise<RolloutProgress | undefined> {
    const {store, maxConcurrentLoads} = this.options;
    const steps = await runStoreProtocol(store, listRolloutSteps(rolloutId));
    if (steps === undefined) return undefined;
    const selected = selectRolloutSteps(
      steps,
      this.enginesInProgress,
      maxConcurrentLoads,
    );
    const isApplied = await Promise.all(selected.map(s => this.runStep(s)));
    const appliedNow = isApplied.filter(Boolean).length;
    const before = countStepsByState(steps);
    return {
      ...before,
      plannedCount: before.plannedCount - appliedNow,
      appliedCount: before.appliedCount + appliedNow,
    };
  }

  async readProgress(rolloutId: string): Promise<RolloutProgress | undefined> {
    const {store} = this.options;
    const steps = await runStoreProtocol(store, listRolloutSteps(rolloutId));
    return steps && countStepsByState(steps);
  }

  async repair(rolloutId: string): Promise<number> {
    const {store, engines} = this.options;
    const steps = await runStoreProtocol(store, listRolloutSteps(rolloutId));
    let repairedCount = 0;
    for (const step of listLastApplied(steps ?? [])) {
      const loaded = await engines
        .listLoaded(step.engine)
        .catch(() => undefined);
      if (loaded === undefined || isStateReached(step.wanted, loaded)) continue;
      const attempt = await this.sendOrder(step, 'applied');
      if (attempt.outcome !== 'applied') continue;
      repairedCount += 1;
      this.emitEvent(step, {...attempt, outcome: 'repaired'});
    }
    return repairedCount;
  }

  /**
   * Sends the order of one step and records the step as applied. Returns true
   * once it is recorded.
   */
  private async runStep(step: RolloutStep): Promise<boolean> {
    this.enginesInProgress.add(step.engine);
    try {
      const attempt = await this.sendOrder(step, 'planned');
      this.emitEvent(step, attempt);
      const {outcome, fencing, stored} = attempt;
      if (outcome !== 'applied' || stored === undefined) return false;
      const protocol = recordRolloutStep(stored, 'applied', fencing);
      return await runStoreProtocol(this.options.store, protocol);
    } finally {
      this.enginesInProgress.delete(step.engine);
    }
  }

  /**
   * Reads the step again and sends its current order. No other code runs
   * between the check of the lease and the start of sending, so the lease can
   * only expire in between if the process is paused at that point.
   */
  private async sendOrder(
    {rolloutId, index, engine}: RolloutStep,
    expectedState: RolloutStepState,
  ): Promise<OrderAttempt> {
    const {store, lease, engines} = this.options;
    const stored = await runStoreProtocol(
      store,
      readRolloutStep(rolloutId, index),
    );
    if (stored === undefined) return createUnsentAttempt('failed');
    if (stored.step.state !== expectedState)
      return createUnsentAttempt('changed');
    const grant = lease.current();
    if (grant === undefined) return createUnsentAttempt('notHolder');
    const {fencing} = grant;
    const {wanted} = stored.step;
    const order = {fencing, orderId: resolveOrderId(stored.step), wanted};
    const outcome = await engines
      .send(engine, order)
      .catch((): OrderResult => 'failed');
    return {outcome, fencing, stored};
  }

  private emitEvent(step: RolloutStep, attempt: OrderAttempt): void {
    const {outcome, fencing} = attempt;
    this.options.onEvent({step, outcome, fencing});
  }
}

function countStepsByState(steps: readonly RolloutStep[]): RolloutProgress {
  const count = (state: RolloutStepState): number =>
    steps.filter(step => step.state === state).length;
  return {
    plannedCount: count('planned'),
    appliedCount: count('applied'),
    cancelledCount: count('cancelled'),
  };
}

interface OrderAttempt {
  readonly outcome: OrderEvent['outcome'];
  readonly fencing: number;
  readonly stored: StoredRolloutStep | undefined;
}

function createUnsentAttempt(outcome: OrderEvent['outcome']): OrderAttempt {
  return {outcome, fencing: 0, stored: undefined};
}
