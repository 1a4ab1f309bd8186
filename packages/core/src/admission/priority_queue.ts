import type {Priority} from '../rules/rule_set.js';

/** A request that waits for dispatch. */
export interface QueuedRequest {
  readonly id: string;
  readonly priority: Priority;
  /** On the monotonic clock of `nowMs`. */
  readonly deadlineMs: number;
}

/** Highest first. */
export const PRIORITY_ORDER: readonly Priority[] = ['high', 'normal', 'low'];

/** First in, first out within each priority. */
export class PriorityQueue {
  private readonly queues: Readonly<Record<Priority, QueuedRequest[]>> = {
    high: [],
    normal: [],
    low: [],
  };

  private constructor() {}

  static create(): PriorityQueue {
    return new PriorityQueue();
  }

  get size(): number {
    return PRIORITY_ORDER.reduce((n, name) => n + this.queues[name].length, 0);
  }

  /** Requests that would be dispatched before a new one of the priority. */
  countAhead(priority: Priority): number {
    const last = PRIORITY_ORDER.indexOf(priority);
    return PRIORITY_ORDER.slice(0, last + 1).reduce(
      (n, name) => n + this.queues[name].length,
      0,
    );
  }

  push(request: QueuedRequest): void {
    this.queues[request.priority].push(request);
  }

  shift(): QueuedRequest | undefined {
    const filled = PRIORITY_ORDER.find(name => this.queues[name].length > 0);
    return filled && this.queues[filled].shift();
  }

  /** Takes out the youngest request of a priority below the given one. */
  popBelow(priority: Priority): QueuedRequest | undefined {
    const lower = PRIORITY_ORDER.slice(PRIORITY_ORDER.indexOf(priority) + 1);
    const filled = lower.reverse().find(name => this.queues[name].length > 0);
    return filled && this.queues[filled].pop();
  }

  /** Takes out a request whose caller left. */
  remove(id: string): boolean {
    for (const queue of Object.values(this.queues)) {
      const index = queue.findIndex(request => request.id === id);
      if (index < 0) continue;
      queue.splice(index, 1);
      return true;
    }
    return false;
  }

  /** Takes out the requests for which the test holds. */
  removeWhere(
    predicate: (request: QueuedRequest) => boolean,
  ): readonly QueuedRequest[] {
    return PRIORITY_ORDER.flatMap(name => {
      const queue = this.queues[name];
      const removed = queue.filter(predicate);
      if (removed.length === 0) return removed;
      const kept = queue.filter(request => !predicate(request));
      queue.splice(0, queue.length, ...kept);
      return removed;
    });
  }
}
