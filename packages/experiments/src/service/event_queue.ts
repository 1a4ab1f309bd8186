interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

function isBefore(a: Event, b: Event): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Runs events in the order of their time; the time is that of the event. */
export class EventQueue {
  nowMs = 0;
  private readonly heap: Event[] = [];
  private order = 0;

  private constructor() {}

  static create(): EventQueue {
    return new EventQueue();
  }

  /** Schedules an event. */
  at(atMs: number, run: () => void): void {
    const {heap} = this;
    heap.push({atMs, order: this.order++, run});
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

  /** Runs all events up to a time. */
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
