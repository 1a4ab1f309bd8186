interface Event {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

function isBefore(a: Event, b: Event): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

/**
 * A discrete-event scheduler with a simulated clock. Runs events in the order of
 * their time, and events of equal time in the order in which they were scheduled.
 */
export class EventQueue {
  nowMs = 0;
  private readonly heap: Event[] = [];
  private nextSequence = 0;

  private constructor() {}

  static create(): EventQueue {
    return new EventQueue();
  }

  /** Schedules an event at a simulated time. */
  at(atMs: number, run: () => void): void {
    const {heap} = this;
    heap.push({atMs, sequence: this.nextSequence++, run});
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (isBefore(heap[parent], heap[index])) break;
      [heap[parent], heap[index]] = [heap[index], heap[parent]];
      index = parent;
    }
  }

  /** Schedules an event after a delay. */
  after(delayMs: number, run: () => void): void {
    this.at(this.nowMs + delayMs, run);
  }

  /** Runs all events up to and including a simulated time. */
  runUntil(endMs: number): void {
    while (this.heap.length > 0 && this.heap[0].atMs <= endMs) {
      const event = this.pop();
      this.nowMs = event.atMs;
      event.run();
    }
  }

  private pop(): Event {
    const {heap} = this;
    const [first] = heap;
    const last = heap.pop() as Event;
    if (heap.length === 0) return first;
    heap[0] = last;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      if (left >= heap.length) return first;
      const right = left + 1;
      const isRight = right < heap.length && isBefore(heap[right], heap[left]);
      const child = isRight ? right : left;
      if (!isBefore(heap[child], heap[index])) return first;
      [heap[child], heap[index]] = [heap[index], heap[child]];
      index = child;
    }
  }
}
