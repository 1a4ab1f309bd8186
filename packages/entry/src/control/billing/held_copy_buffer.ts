import {
  dropHandedOffBatch,
  handOffBatch,
  holdRecords,
  listHeldBatches,
  NO_HELD_COPIES,
  RouterError,
  type HeldCopies,
  type HoldRequest,
  type ObjectStore,
} from '@anvilrudder/core';
import {BackgroundRetries} from '../steps/background_retries.js';
import {runStoreProtocol} from '../steps/run_store_protocol.js';

/** Options of {@link createHeldCopyBuffer}. */
export interface HeldCopyBufferOptions {
  readonly store: ObjectStore;
  /** Maximum number of copies held for all peers together. */
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
   * Writes the copies held for an incarnation that is believed lost. If the
   * object API fails, the write is retried in the background until it succeeds.
   * It is harmless if the incarnation is still running.
   */
  handOff(incarnation: string): Promise<void>;
  /** Hands off all copies; for a planned stop of this entry. */
  handOffAll(): Promise<void>;
  readonly recordCount: number;
  /** Lists the incarnations that copies are held for. */
  listIncarnations(): ReadonlySet<string>;
  /** Stops the background retries. */
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
  options: HeldCopyBufferOptions,
): HeldCopyBuffer {
  return StoreHeldCopyBuffer.create(options);
}

class StoreHeldCopyBuffer implements HeldCopyBuffer {
  private copies: HeldCopies = NO_HELD_COPIES;

  private constructor(
    private readonly store: ObjectStore,
    private readonly maxRecords: number,
    private readonly retries: BackgroundRetries,
  ) {}

  static create(options: HeldCopyBufferOptions): StoreHeldCopyBuffer {
    const {store, maxRecords = DEFAULT_MAX_RECORDS} = options;
    const retries = BackgroundRetries.create({
      random: options.random ?? Math.random,
    });
    return new StoreHeldCopyBuffer(store, maxRecords, retries);
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
    const isDone = await this.writeHeldBatches(incarnation);
    if (!isDone) this.retries.retry(() => this.writeHeldBatches(incarnation));
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

  private async writeHeldBatches(incarnation: string): Promise<boolean> {
    for (const batch of listHeldBatches(this.copies, incarnation)) {
      const outcome = await runStoreProtocol(this.store, handOffBatch(batch));
      if (outcome === 'failed') return false;
      this.copies = dropHandedOffBatch(this.copies, batch);
    }
    return true;
  }
}
