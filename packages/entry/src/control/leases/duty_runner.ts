import type {LeaseGrant, LeaseManager} from './lease_manager.js';

/** Options of {@link createDutyRunner}. */
export interface DutyRunnerOptions {
  readonly lease: LeaseManager;
  /** Pause between two runs of the duty. */
  readonly intervalMs: number;
  /** Does one bounded piece of the duty; a rejection is reported. */
  readonly run: (grant: LeaseGrant) => Promise<unknown>;
  readonly onError?: (error: unknown) => void;
  /** Uniform between 0 and 1; spreads the calls of many hosts. */
  readonly random?: () => number;
}

/** Runs a duty regularly while its lease is held. */
export interface DutyRunner {
  /** Starts to try for the lease and to run the duty. */
  start(): void;
  /** Waits for the run in progress, then gives the lease up. */
  stop(): Promise<void>;
}

/**
 * Creates the runner of one duty.
 *
 * @example
 * ```ts
 * const duty = createDutyRunner({
 *   lease: createLeaseManager({store, member, duty: 'billing-0'}),
 *   intervalMs: 10_000,
 *   run: () => compactor.compact(),
 * });
 * duty.start();
 * ```
 */
export function createDutyRunner(options: DutyRunnerOptions): DutyRunner {
  return LeasedDutyRunner.create(options);
}

class LeasedDutyRunner implements DutyRunner {
  private timer: NodeJS.Timeout | undefined;
  private running: Promise<void> = Promise.resolve();
  private isStopped = false;

  private constructor(private readonly options: Required<DutyRunnerOptions>) {}

  static create(options: DutyRunnerOptions): LeasedDutyRunner {
    return new LeasedDutyRunner({
      onError: () => undefined,
      random: Math.random,
      ...options,
    });
  }

  start(): void {
    this.options.lease.start();
    this.schedule();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.running;
    await this.options.lease.stop();
  }

  private schedule(): void {
    if (this.isStopped) return;
    const {intervalMs, random} = this.options;
    this.timer = setTimeout(
      () => {
        this.running = this.runOnce().finally(() => this.schedule());
      },
      intervalMs * (0.75 + random() / 2),
    );
    this.timer.unref();
  }

  private async runOnce(): Promise<void> {
    const {lease, run, onError} = this.options;
    const grant = lease.current();
    if (grant === undefined) return;
    await run(grant).catch(onError);
  }
}
