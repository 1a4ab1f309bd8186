import type {Priority} from '../rules/rule_set.js';

/** A request waiting for dispatch. */
export interface QueuedRequest {
  readonly id: string;
  readonly priority: Priority;
  /** Deadline on the same monotonic clock as `nowMs`. */
  readonly deadlineMs: number;
}

/** Priorities, highest first. */
export const PRIORITY_ORDER: readonly Priority[] = ['high', 'normal', 'low'];

/** Priority queue of requests, first in, first out within each priority. */
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

  /** Counts the requests ahead of a new request of the priority. */
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

  /** Removes the newest request of the lowest priority below the given one. */
  popBelow(priority: Priority): QueuedRequest | undefined {
    const lower = PRIORITY_ORDER.slice(PRIORITY_ORDER.indexOf(priority) + 1);
    const filled = lower.reverse().find(name => this.queues[name].length > 0);
    return filled && this.queues[filled].pop();
  }

  /**
   * Removes a request by id.
   *
   * @returns false when the request is not queued.
   */
  remove(id: string): boolean {
    for (const queue of Object.values(this.queues)) {
      const index = queue.findIndex(request => request.id === id);
      if (index < 0) continue;
      queue.splice(index, 1);
      return true;
    }
    return false;
  }

  /** Removes and returns the requests that match the predicate. */
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
