import type {SeenAnswer} from './test_caller.js';

/** What became of the calls of a {@link LoadGroup}. */
export interface LoadResult {
  readonly answers: readonly SeenAnswer[];
  /** Calls whose connection broke before any answer. */
  readonly lostCount: number;
}

/** Callers that send one request after another until they are stopped. */
export class LoadGroup {
  private readonly answers: SeenAnswer[] = [];
  private lostCount = 0;
  private isStopped = false;
  private workers: ReadonlyArray<Promise<void>> = [];

  private constructor() {}

  /**
   * @param call sends one request of the numbered worker.
   */
  static start(
    workerCount: number,
    call: (worker: number) => Promise<SeenAnswer>,
  ): LoadGroup {
    const group = new LoadGroup();
    group.workers = Array.from({length: workerCount}, (_, worker) =>
      group.run(() => call(worker)),
    );
    return group;
  }

  get wholeCount(): number {
    return this.answers.filter(answer => answer.isWhole).length;
  }

  /** Resolves once every call under way has ended. */
  async stop(): Promise<LoadResult> {
    this.isStopped = true;
    await Promise.all(this.workers);
    return {answers: this.answers, lostCount: this.lostCount};
  }

  private async run(call: () => Promise<SeenAnswer>): Promise<void> {
    while (!this.isStopped) {
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
