import type {ReceivedAnswer} from './test_caller.js';

/** Results of the calls of a {@link LoadGenerator}. */
export interface LoadResult {
  readonly answers: readonly ReceivedAnswer[];
  /** Number of calls that failed without an answer. */
  readonly lostCount: number;
}

/**
 * Concurrent callers, each of which sends one request after another until the
 * group is stopped.
 */
export class LoadGenerator {
  private readonly answers: ReceivedAnswer[] = [];
  private lostCount = 0;
  private isStopped = false;
  private workers: ReadonlyArray<Promise<void>> = [];

  private constructor() {}

  /**
   * @param call sends one request of the worker with the given number.
   */
  static start(
    workerCount: number,
    call: (worker: number) => Promise<ReceivedAnswer>,
  ): LoadGenerator {
    const group = new LoadGenerator();
    group.workers = Array.from({length: workerCount}, (_, worker) =>
      group.run(() => call(worker)),
    );
    return group;
  }

  get completeCount(): number {
    return this.answers.filter(answer => answer.isComplete).length;
  }

  /** Stops the callers; resolves once every call in progress has ended. */
  async stop(): Promise<LoadResult> {
    this.isStopped = true;
    await Promise.all(this.workers);
    return {answers: this.answers, lostCount: this.lostCount};
  }

  private async run(call: () => Promise<ReceivedAnswer>): Promise<void> {
    while (!this.isStopped) {
      try {
        this.answers.push(await call());
      } catch {
        this.lostCount += 1;
        // A refused connection fails immediately, so the pause lets other work
        // run. A failed test leaves its callers running; the unreferenced timer
        // allows the process to exit all the same.
        await new Promise(resolve => setTimeout(resolve, 5).unref());
      }
    }
  }
}
