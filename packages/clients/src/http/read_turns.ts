/** A connection whose bytes are parsed as they are read. */
export interface TurnReader {
  /** Reads on in a later turn of the event loop. */
  readOn(): void;
}

interface RecentCost {
  readonly costMs: number;
  readonly atMs: number;
}

/** Time of one turn of the event loop that parsing may take. */
const MAX_TURN_MS = 5;
/** Time in which the recent cost of a connection halves. */
const COST_HALF_LIFE_MS = 100;

/**
 * Shares the turns of the event loop between the connections of this process, so
 * that bytes that take long to parse do not hold up all else. What is over the time
 * of a turn is read in later ones, the connections of the least recent cost first.
 */
export class ReadTurns {
  private readonly costs = new WeakMap<TurnReader, RecentCost>();
  private readonly waiting = new Set<TurnReader>();
  private spentMs = 0;
  private isScheduled = false;
  private active: TurnReader | undefined;
  private activeSinceMs = 0;

  private constructor() {}

  /**
   * @example
   * ```ts
   * const turns = ReadTurns.create();
   * if (turns.tryBegin(reader)) parse(read());
   * turns.finish();
   * ```
   */
  static create(): ReadTurns {
    return new ReadTurns();
  }

  /**
   * Begins a read whose bytes are parsed up to the next call. Returns false if the
   * reader is to wait; it is called once it may read on.
   */
  tryBegin(reader: TurnReader): boolean {
    this.finish();
    this.schedule();
    if (this.spentMs >= MAX_TURN_MS) {
      this.waiting.add(reader);
      return false;
    }
    this.active = reader;
    this.activeSinceMs = performance.now();
    return true;
  }

  /** Ends the read that was begun last, if it has not ended. */
  finish(): void {
    const {active} = this;
    if (active === undefined) return;
    const nowMs = performance.now();
    const elapsedMs = nowMs - this.activeSinceMs;
    this.active = undefined;
    this.spentMs += elapsedMs;
    const costMs = this.computeCostMs(active, nowMs) + elapsedMs;
    this.costs.set(active, {costMs, atMs: nowMs});
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.beginTurn());
  }

  private beginTurn(): void {
    this.isScheduled = false;
    this.finish();
    this.spentMs = 0;
    for (const reader of this.listByCost()) {
      if (this.spentMs >= MAX_TURN_MS) break;
      this.waiting.delete(reader);
      reader.readOn();
    }
    if (this.waiting.size > 0) this.schedule();
  }

  private listByCost(): readonly TurnReader[] {
    const nowMs = performance.now();
    return [...this.waiting]
      .map(reader => ({reader, costMs: this.computeCostMs(reader, nowMs)}))
      .sort((a, b) => a.costMs - b.costMs)
      .map(({reader}) => reader);
  }

  private computeCostMs(reader: TurnReader, nowMs: number): number {
    const recent = this.costs.get(reader);
    if (recent === undefined) return 0;
    const halvings = (nowMs - recent.atMs) / COST_HALF_LIFE_MS;
    return recent.costMs * 0.5 ** halvings;
  }
}

/** The turns of this process, which has one event loop. */
export const PROCESS_TURNS = ReadTurns.create();
