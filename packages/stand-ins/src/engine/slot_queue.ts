/** Priorities, in the order in which they are served. */
export const PRIORITIES = ['high', 'normal', 'low'] as const;

/** Priority of a request in the queue of an engine. */
export type EnginePriority = (typeof PRIORITIES)[number];

/** A request waiting for a slot. */
export interface WaitingRequest {
  readonly priority: EnginePriority;
  /** Called once, when the request gets a slot. */
  start(): void;
}

/** Assigns a fixed number of slots to waiting requests, by priority. */
export class SlotQueue {
  private runningCount = 0;
  private readonly waiting: Record<EnginePriority, WaitingRequest[]> = {
    high: [],
    normal: [],
    low: [],
  };

  private constructor(
    private readonly slots: number,
    private readonly queueLimit: number,
  ) {}

  static create(slots: number, queueLimit: number): SlotQueue {
    return new SlotQueue(slots, queueLimit);
  }

  get running(): number {
    return this.runningCount;
  }

  get queued(): number {
    return PRIORITIES.reduce((n, name) => n + this.waiting[name].length, 0);
  }

  get isFull(): boolean {
    return this.runningCount >= this.slots && this.queued >= this.queueLimit;
  }

  /** Starts the request at once if a slot is free, otherwise queues it. */
  add(request: WaitingRequest): void {
    this.waiting[request.priority].push(request);
    this.startWaitingRequests();
  }

  /** Removes a request from the queue; returns false if it is not queued. */
  remove(request: WaitingRequest): boolean {
    const list = this.waiting[request.priority];
    const index = list.indexOf(request);
    if (index === -1) return false;
    list.splice(index, 1);
    return true;
  }

  /** Frees the slot of a started request. */
  release(): void {
    this.runningCount -= 1;
    this.startWaitingRequests();
  }

  private startWaitingRequests(): void {
    while (this.runningCount < this.slots) {
      const priority = PRIORITIES.find(p => this.waiting[p].length > 0);
      if (priority === undefined) return;
      this.runningCount += 1;
      this.waiting[priority].shift()!.start();
    }
  }
}
