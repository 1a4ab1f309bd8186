import type {ReceivedAnswer} from './test_caller.js';

/** What became of the calls of a {@link LoadGenerator}. */
export interface LoadResult {
  readonly answers: readonly ReceivedAnswer[];
  /** Calls whose connection broke before any answer. */
  readonly lostCount: number;
}

/** Callers that send one request after another until they are stopped. */
export class LoadGenerator {
  private readonly answers: ReceivedAnswer[] = [];
  private lostCount = 0;
  private isOver = false;
  private workers: ReadonlyArray<Promise<void>> = [];

  private constructor() {}

  /**
   * @param call sends one request of the numbered worker.
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

  /** Resolves once every call under way has ended. */
  async stop(): Promise<LoadResult> {
    this.isOver = true;
    await Promise.all(this.workers);
    return {answers: this.answers, lostCount: this.lostCount};
  }

  private async run(call: () => Promise<ReceivedAnswer>): Promise<void> {
    while (!this.isOver) {
      try {
        this.answers.push(await call());
      } catch {
        this.lostCount += 1;
        // A refused connection fails at once; others get their turn. A test
        // that failed leaves its load running, which must not hold it open.
        await new Promise(resolve => setTimeout(resolve, 5).unref());
      }
    }
  }
}
