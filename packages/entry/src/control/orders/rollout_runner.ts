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
  /** The same for each repeat. */
  readonly orderId: string;
  readonly wanted: WantedState;
}

/** What an engine made of an order; rejections count as `failed`. */
export type OrderResult = 'applied' | 'oldFencing' | 'failed';

/** The part of the engine client that orders need. */
export interface EngineOrderClient {
  /** Must begin to send in the turn in which it is called. */
  send(engine: string, order: EngineOrder): Promise<OrderResult>;
  /** Versions that the engine reports; the report lags. */
  listLoaded(engine: string): Promise<readonly ModelVersion[]>;
}

/** Something that the runner did, for the audit trail. */
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
  /** Orders under way at a time at most, by the rate of the weight store. */
  readonly maxConcurrentLoads?: number;
  readonly onEvent?: (event: OrderEvent) => void;
}

/** How far a roll-out is. */
export interface RolloutProgress {
  readonly plannedCount: number;
  readonly appliedCount: number;
  readonly cancelledCount: number;
}

/** Carries out roll-outs while it holds the lease; any successor goes on. */
export interface RolloutRunner {
  /** Writes the steps; to be repeated with the same id until it is true. */
  plan(rolloutId: string, steps: readonly PlannedStep[]): Promise<boolean>;
  /** Counts the steps by state; undefined when the object API is out. */
  readProgress(rolloutId: string): Promise<RolloutProgress | undefined>;
  /** Cancels the steps that are not applied; false to be repeated. */
  cancel(rolloutId: string): Promise<boolean>;
  /**
   * Orders the next steps. Undefined when the object API is out.
   */
  advance(rolloutId: string): Promise<RolloutProgress | undefined>;
  /**
   * Compares engines with their last applied step and orders those that
   * differ again. It bounds the effect of an old order at an engine that
   * ignores fencing numbers. Returns the number of repeated orders.
   */
  repair(rolloutId: string): Promise<number>;
}

const DEFAULT_MAX_CONCURRENT_LOADS = 1;

/**
 * Creates the runner of roll-outs.
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
  private readonly inProgress = new Set<string>();

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
      this.inProgress,
      maxConcurrentLoads,
    );
    const isApplied = await Promise.all(selected.map(s => this.runStep(s)));
    const appliedNow = isApplied.filter(Boolean).length;
    const before = countSteps(steps);
    return {
      ...before,
      plannedCount: before.plannedCount - appliedNow,
      appliedCount: before.appliedCount + appliedNow,
    };
  }

  async readProgress(rolloutId: string): Promise<RolloutProgress | undefined> {
    const {store} = this.options;
    const steps = await runStoreProtocol(store, listRolloutSteps(rolloutId));
    return steps && countSteps(steps);
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
      const attempt = await this.order(step, 'applied');
      if (attempt.outcome !== 'applied') continue;
      repairedCount += 1;
      this.report(step, {...attempt, outcome: 'repaired'});
    }
    return repairedCount;
  }

  /** Orders one step and records it; true once it is recorded. */
  private async runStep(step: RolloutStep): Promise<boolean> {
    this.inProgress.add(step.engine);
    try {
      const attempt = await this.order(step, 'planned');
      this.report(step, attempt);
      const {outcome, fencing, stored} = attempt;
      if (outcome !== 'applied' || stored === undefined) return false;
      const protocol = recordRolloutStep(stored, 'applied', fencing);
      return await runStoreProtocol(this.options.store, protocol);
    } finally {
      this.inProgress.delete(step.engine);
    }
  }

  /**
   * Reads the step anew and sends what it states now. The lease is checked in
   * the turn that sends, so only a pause inside that turn is left.
   */
  private async order(
    {rolloutId, index, engine}: RolloutStep,
    expectedState: RolloutStepState,
  ): Promise<OrderAttempt> {
    const {store, lease, engines} = this.options;
    const stored = await runStoreProtocol(
      store,
      readRolloutStep(rolloutId, index),
    );
    if (stored === undefined) return createAttempt('failed');
    if (stored.step.state !== expectedState) return createAttempt('changed');
    const grant = lease.current();
    if (grant === undefined) return createAttempt('notHolder');
    const {fencing} = grant;
    const {wanted} = stored.step;
    const order = {fencing, orderId: resolveOrderId(stored.step), wanted};
    const outcome = await engines
      .send(engine, order)
      .catch((): OrderResult => 'failed');
    return {outcome, fencing, stored};
  }

  private report(step: RolloutStep, attempt: OrderAttempt): void {
    const {outcome, fencing} = attempt;
    this.options.onEvent({step, outcome, fencing});
  }
}

function countSteps(steps: readonly RolloutStep[]): RolloutProgress {
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

function createAttempt(outcome: OrderEvent['outcome']): OrderAttempt {
  return {outcome, fencing: 0, stored: undefined};
}
