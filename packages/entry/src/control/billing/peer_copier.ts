import {
  countBatchRecords,
  readBatchRecords,
  type BillingBatch,
  type PackedBatch,
} from '@anvilrudder/core';
import type {BillingPeer} from './billing_peer.js';

/** Options of {@link PeerCopier}. */
export interface PeerCopierOptions {
  /** Chooses a peer in another failure domain; undefined when none is left. */
  readonly choosePeer: (
    excludedHosts: ReadonlySet<string>,
  ) => BillingPeer | undefined;
  /** Batches that are not durable yet, oldest first. */
  readonly listPending: () => ReadonlyArray<BillingBatch | PackedBatch>;
  /** Sequence number of the newest batch that is durable. */
  readonly durableThrough: () => number;
  readonly nowMs: () => number;
  /** How long a peer may take to confirm copies before another one is asked. */
  readonly timeoutMs: number;
  /** How long a peer that failed is not asked again. */
  readonly exclusionMs: number;
}

/** Number of peers asked before the records count as unprotected. */
const MAX_PEERS_PER_COPY = 2;

/**
 * Keeps a copy of each record that is not durable at one peer. Records added
 * while a copy is in progress are sent together. When the peer fails, all
 * records are copied to another one.
 */
export class PeerCopier {
  private peer: BillingPeer | undefined;
  /**
   * Number of records of each batch that the peer has confirmed, by sequence
   * number.
   */
  private confirmedCounts = new Map<number, number>();
  private readonly excludedUntilMs = new Map<string, number>();
  /** No peer is asked before this time. */
  private pausedUntilMs = -Infinity;
  private copyInProgress: Promise<boolean> | undefined;
  private queuedCopy: Promise<boolean> | undefined;

  private constructor(private readonly options: PeerCopierOptions) {}

  static create(options: PeerCopierOptions): PeerCopier {
    return new PeerCopier(options);
  }

  /**
   * Copies the records that the peer does not hold yet.
   *
   * @returns true when a peer holds all of them.
   */
  async copy(): Promise<boolean> {
    if (this.copyInProgress === undefined) return await this.startCopy();
    // Records added while a copy is in progress are sent with the next one.
    this.queuedCopy ??= this.copyInProgress.then(() => {
      this.queuedCopy = undefined;
      return this.copy();
    });
    return await this.queuedCopy;
  }

  /** Copies all records to another peer if `host` held the copies. */
  async replacePeer(host: string): Promise<void> {
    if (this.peer?.host !== host) return;
    this.excludePeer(this.peer);
    await this.copy();
  }

  private async startCopy(): Promise<boolean> {
    this.copyInProgress = this.copyWithFallback();
    try {
      return await this.copyInProgress;
    } finally {
      this.copyInProgress = undefined;
    }
  }

  private async copyWithFallback(): Promise<boolean> {
    if (this.options.nowMs() < this.pausedUntilMs) return false;
    for (let attempt = 0; attempt < MAX_PEERS_PER_COPY; attempt++) {
      this.peer ??= this.options.choosePeer(this.listExcludedHosts());
      if (this.peer === undefined) return false;
      const {peer} = this;
      if (await this.copyTo(peer)) return true;
      if (this.peer === peer) this.excludePeer(peer);
    }
    // Other peers may be unreachable as well. To delay no further answers, none
    // is asked until then.
    this.pausedUntilMs = this.options.nowMs() + this.options.exclusionMs;
    return false;
  }

  private async copyTo(peer: BillingPeer): Promise<boolean> {
    const {listPending, durableThrough, timeoutMs} = this.options;
    for (const batch of listPending()) {
      const confirmedCount = this.confirmedCounts.get(batch.sequence) ?? 0;
      if (countBatchRecords(batch) <= confirmedCount) continue;
      const {shard, incarnation, sequence} = batch;
      const records = readBatchRecords(batch).slice(confirmedCount);
      const request = {
        batch: {shard, incarnation, sequence, records},
        durableThrough: durableThrough(),
      };
      const isConfirmed = await confirmWithin(peer.hold(request), timeoutMs);
      if (!isConfirmed || this.peer !== peer) return false;
      this.confirmedCounts.set(batch.sequence, confirmedCount + records.length);
    }
    for (const sequence of this.confirmedCounts.keys()) {
      if (sequence <= durableThrough()) this.confirmedCounts.delete(sequence);
    }
    return true;
  }

  private excludePeer(peer: BillingPeer): void {
    const {nowMs, exclusionMs} = this.options;
    this.excludedUntilMs.set(peer.host, nowMs() + exclusionMs);
    this.peer = undefined;
    this.confirmedCounts = new Map();
  }

  private listExcludedHosts(): ReadonlySet<string> {
    const nowMs = this.options.nowMs();
    for (const [host, untilMs] of this.excludedUntilMs) {
      if (untilMs <= nowMs) this.excludedUntilMs.delete(host);
    }
    return new Set(this.excludedUntilMs.keys());
  }
}

async function confirmWithin(
  work: Promise<void>,
  timeoutMs: number,
): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<boolean>(resolve => {
    timer = setTimeout(() => resolve(false), timeoutMs);
  });
  const confirmed = work.then(
    () => true,
    () => false,
  );
  const isConfirmed = await Promise.race([confirmed, timeout]);
  clearTimeout(timer);
  return isConfirmed;
}
