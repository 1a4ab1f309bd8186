import {
  dropHandedOff,
  holdRecords,
  listHeldBatches,
  NO_HELD_COPIES,
  RouterError,
  writeBatch,
  type HeldCopies,
  type HoldRequest,
  type ObjectStore,
} from '@anvilrudder/core';
import {BackgroundRetries} from '../steps/background_retries.js';
import {runStoreProtocol} from '../steps/run_store_protocol.js';

/** Options of {@link createHeldCopyBuffer}. */
export interface HeldRecordsOptions {
  readonly store: ObjectStore;
  /** Copies held for all peers together at most. */
  readonly maxRecords?: number;
  /** Uniform between 0 and 1; spreads retries. */
  readonly random?: () => number;
}

/** Copies that this entry holds for peers until they are durable. */
export interface HeldCopyBuffer {
  /**
   * Holds copies of a peer's records.
   *
   * @throws RouterError `overloaded` when too many copies are held.
   */
  hold(request: HoldRequest): void;
  /**
   * Writes what is held for a run of an entry that is believed lost, and goes
   * on in the background until the object API has taken it. A wrong belief
   * does no harm.
   */
  handOff(incarnation: string): Promise<void>;
  /** Hands off everything; for a planned stop of this entry. */
  handOffAll(): Promise<void>;
  readonly recordCount: number;
  /** Runs of entries that copies are held for. */
  listIncarnations(): ReadonlySet<string>;
  /** Stops the retries in the background. */
  stop(): void;
}

const DEFAULT_MAX_RECORDS = 200_000;

/**
 * Creates the buffer of copies for peers.
 *
 * @example
 * ```ts
 * const held = createHeldCopyBuffer({store});
 * held.hold({batch, durableThrough: 0});
 * await held.handOff(batch.incarnation);
 * ```
 */
export function createHeldCopyBuffer(
  options: HeldRecordsOptions,
): HeldCopyBuffer {
  return StoreHeldRecords.create(options);
}

class StoreHeldRecords implements HeldCopyBuffer {
  private copies: HeldCopies = NO_HELD_COPIES;

  private constructor(
    private readonly store: ObjectStore,
    private readonly maxRecords: number,
    private readonly retries: BackgroundRetries,
  ) {}

  static create(options: HeldRecordsOptions): StoreHeldRecords {
    const {store, maxRecords = DEFAULT_MAX_RECORDS} = options;
    const retries = BackgroundRetries.create({
      random: options.random ?? Math.random,
    });
    return new StoreHeldRecords(store, maxRecords, retries);
  }

  get recordCount(): number {
    return this.copies.recordCount;
  }

  hold(request: HoldRequest): void {
    const copies = holdRecords(this.copies, request, this.maxRecords);
    if (copies === undefined) {
      throw RouterError.create('Too many copies of records are held.', {
        code: 'overloaded',
      });
    }
    this.copies = copies;
  }

  async handOff(incarnation: string): Promise<void> {
    const isDone = await this.writeHeld(incarnation);
    if (!isDone) this.retries.retry(() => this.writeHeld(incarnation));
  }

  async handOffAll(): Promise<void> {
    for (const incarnation of this.listIncarnations()) {
      await this.handOff(incarnation);
    }
  }

  listIncarnations(): ReadonlySet<string> {
    const batches = [...this.copies.batches.values()];
    return new Set(batches.map(({incarnation}) => incarnation));
  }

  stop(): void {
    this.retries.stop();
  }

  private async writeHeld(incarnation: string): Promise<boolean> {
    for (const batch of listHeldBatches(this.copies, incarnation)) {
      const protocol = writeBatch(batch, 'handOff');
      const outcome = await runStoreProtocol(this.store, protocol);
      if (outcome === 'failed') return false;
      this.copies = dropHandedOff(this.copies, batch);
    }
    return true;
  }
}
