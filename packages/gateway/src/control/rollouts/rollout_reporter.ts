import type {Random, RolloutState} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';
import type {ActiveRollout} from './active_rollout.js';
import type {RolloutStateWriter} from './rollout_state_writer.js';
import type {RolloutWriteTiming} from './rollout_write_timing.js';

/** Dependencies of {@link RolloutReporter}. */
export interface RolloutReporterOptions {
  readonly stateWriter: RolloutStateWriter;
  readonly timing: RolloutWriteTiming;
  readonly logger: Logger;
  readonly random: Random;
}

const WRITE_RETRY_MS = 500;

/** Writes the states of rollouts to the store and logs why. */
export class RolloutReporter {
  private constructor(private readonly options: RolloutReporterOptions) {}

  static create(options: RolloutReporterOptions): RolloutReporter {
    return new RolloutReporter(options);
  }

  /**
   * Writes a state unless the order has changed since `revision`. The rollout is
   * marked as being written meanwhile.
   */
  async report(
    rollout: ActiveRollout,
    state: RolloutState,
    revision: number,
  ): Promise<void> {
    const {stateWriter, random, timing} = this.options;
    const {order, step} = rollout.plan;
    const {service, target} = order;
    const elapsedMs = Math.round(rollout.plan.elapsedMs(performance.now()));
    const progress = {service, target, state, elapsedMs, step};
    rollout.isWriting = true;
    const result = await stateWriter.writeState(progress, revision);
    rollout.isWriting = false;
    rollout.isStoreSilent = result.status === 'unanswered';
    const nowMs = performance.now();
    rollout.writeAfterMs = nowMs + WRITE_RETRY_MS * (1 + random());
    this.log(rollout, {...progress, result: result.status});
    // A write that was answered before the store returned from an older copy
    // may be lost.
    const isOutdated = rollout.revision !== revision;
    if (result.status !== 'written' || isOutdated) return;
    rollout.lostState = undefined;
    // The watch delivers the same state later.
    rollout.plan = rollout.plan.withOrder({...order, ...progress}, nowMs);
    rollout.revision = result.version;
    rollout.progressAfterMs = timing.computeNextProgressMs(order, nowMs);
  }

  private log(
    {evidence}: ActiveRollout,
    write: Readonly<Record<string, string | number>>,
  ): void {
    this.options.logger.info('rollout_declared', {
      ...write,
      reason: evidence.findRegression(),
      looksSlow: evidence.looksSlow() || undefined,
      newAnswers: evidence.countRequests('new'),
      newFailures: evidence.countFailures('new'),
      oldAnswers: evidence.countRequests('old'),
      oldFailures: evidence.countFailures('old'),
      newSlowness: evidence.readSlowness('new')?.toFixed(2),
      oldSlowness: evidence.readSlowness('old')?.toFixed(2),
    });
  }
}
