import type {LeaseGrant, LeaseManager} from './lease_manager.js';

/** Options of {@link createDutyRunner}. */
export interface DutyRunnerOptions {
  readonly lease: LeaseManager;
  /** Mean delay between two runs of the duty. */
  readonly intervalMs: number;
  /** Does a bounded part of the duty; rejections are passed to `onError`. */
  readonly run: (grant: LeaseGrant) => Promise<unknown>;
  readonly onError?: (error: unknown) => void;
  /** Uniform between 0 and 1; spreads the runs of many hosts. */
  readonly random?: () => number;
}

/** Runs a duty periodically while its lease is held. */
export interface DutyRunner {
  /** Starts to acquire the lease and to run the duty. */
  start(): void;
  /** Waits for the run in progress, then releases the lease. */
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
  private currentRun: Promise<void> = Promise.resolve();
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
    this.scheduleRun();
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    clearTimeout(this.timer);
    await this.currentRun;
    await this.options.lease.stop();
  }

  private scheduleRun(): void {
    if (this.isStopped) return;
    const {intervalMs, random} = this.options;
    this.timer = setTimeout(
      () => {
        this.currentRun = this.runOnce().finally(() => this.scheduleRun());
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
