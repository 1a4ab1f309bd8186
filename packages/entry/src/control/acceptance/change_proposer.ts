import {
  createProposal,
  type ProposedChange,
  type ChangeRecord,
  type ProposalResult,
  type RulesHead,
} from '@anvilrudder/core';
import type {AcceptanceNode} from './acceptance_node.js';
import type {PeerExchange} from './peer_exchange.js';
import type {StoreSync} from './store_sync.js';
import {Backoff, pause} from './timing.js';

const RETRY_BASE_MS = 100;
const RETRY_MAX_MS = 2_000;

/**
 * Creates the change to propose on top of a head, or returns the reason why it
 * is refused.
 */
export type ChangeFactory = (head: RulesHead) => ProposedChange | string;

/** Result of {@link ChangeProposer.propose}. */
export type ProposeResult =
  /** The change is pending in the head. */
  | {readonly kind: 'proposed'}
  /** The change was proposed and decided earlier. */
  | {readonly kind: 'decided'; readonly record: ChangeRecord}
  | {readonly kind: 'refused'; readonly reason: string}
  /** Another change is pending, or the head was updated concurrently. */
  | {readonly kind: 'busy'}
  /** The store failed or has no head. */
  | {
      readonly kind: 'failed';
      /** True when a write may still take effect. */
      readonly isUnknown: boolean;
    };

/** Proposes changes by conditional updates of the head. */
export class ChangeProposer {
  private constructor(
    private readonly node: AcceptanceNode,
    private readonly sync: StoreSync,
    private readonly exchange: PeerExchange,
  ) {}

  static create(
    node: AcceptanceNode,
    sync: StoreSync,
    exchange: PeerExchange,
  ): ChangeProposer {
    return new ChangeProposer(node, sync, exchange);
  }

  /**
   * Proposes a change, and retries until it is pending, decided or refused, or
   * until the time is over or the rules manager stops. Each attempt reads the head
   * first, so a change whose earlier write took effect without an answer is
   * found by its change id and not proposed twice.
   */
  async propose(
    createChange: ChangeFactory,
    timeoutMs: number,
  ): Promise<ProposeResult> {
    const {node} = this;
    const endAtMs = node.nowMs() + timeoutMs;
    const backoff = Backoff.create(
      RETRY_BASE_MS,
      RETRY_MAX_MS,
      node.options.random,
    );
    let result: ProposeResult = {kind: 'failed', isUnknown: false};
    do {
      try {
        result = await this.proposeOnce(createChange);
      } catch (error) {
        const wasUnknown: boolean =
          result.kind === 'failed' && result.isUnknown;
        const isUnknown: boolean =
          wasUnknown || error instanceof UnknownWriteError;
        result = {kind: 'failed', isUnknown};
      }
      if (result.kind !== 'failed' && result.kind !== 'busy') return result;
      await this.waitBeforeRetry(backoff.recordFailure());
    } while (node.nowMs() < endAtMs && !node.stopSignal.aborted);
    return result;
  }

  private async proposeOnce(
    createChange: ChangeFactory,
  ): Promise<ProposeResult> {
    const {node} = this;
    const stored = await this.sync.readHead();
    if (stored === undefined) return {kind: 'failed', isUnknown: false};
    const change = createChange(stored.head);
    if (typeof change === 'string') return {kind: 'refused', reason: change};
    const proposal = createProposal(stored.head, change);
    if (proposal.kind !== 'proposed') return resolveWithoutWrite(proposal);
    const sentAtMs = node.nowMs();
    const result = await node.headStore
      .replace(stored, proposal.next)
      .catch(error => Promise.reject(UnknownWriteError.create(error)));
    if (result.status !== 'written') return {kind: 'busy'};
    node.dispatch({kind: 'storeAnswered', head: proposal.next, sentAtMs});
    const {changeId, who, why} = change;
    const {revision} = proposal.next.pending?.rules ?? proposal.next.rules;
    node.emit({kind: 'changeProposed', changeId, revision, who, why});
    void this.exchange.pushToAll();
    return {kind: 'proposed'};
  }

  // While a change is pending no other can be proposed, so this waits for the
  // head to change.
  private async waitBeforeRetry(timeoutMs: number): Promise<void> {
    const {node} = this;
    const sequence = node.state.knownHead?.sequence;
    const hasPending = node.state.knownHead?.pending !== undefined;
    if (!hasPending) return pause(timeoutMs, node.stopSignal);
    await node.waitFor(
      () => node.state.knownHead?.sequence !== sequence,
      timeoutMs,
    );
  }
}

class UnknownWriteError extends Error {
  override readonly name = 'UnknownWriteError';

  static create(cause: unknown): UnknownWriteError {
    return new UnknownWriteError('The outcome of the write is unknown.', {
      cause,
    });
  }
}

// Maps a proposal that needs no write of the head to its result.
function resolveWithoutWrite(
  proposal: Exclude<ProposalResult, {readonly kind: 'proposed'}>,
): ProposeResult {
  if (proposal.kind === 'busy') return {kind: 'busy'};
  if (proposal.kind === 'refused') {
    return {kind: 'refused', reason: proposal.reason};
  }
  const {record} = proposal;
  return record === undefined ? {kind: 'proposed'} : {kind: 'decided', record};
}
