import {
  applyDecision,
  findChangeRecord,
  isRulesChange,
  type Decision,
  type PendingChange,
  type RulesHead,
} from '@anvilrudder/core';
import type {AcceptanceNode} from './acceptance_node.js';
import type {PeerExchange} from './peer_exchange.js';
import type {StoreSync} from './store_sync.js';
import {Backoff} from './timing.js';

/** Key prefix of the change records that the head no longer contains. */
export const CHANGE_RECORD_PREFIX = 'rules/changes';

const RETRY_BASE_MS = 200;

/** Updates the head when this entry decides to commit or abort a change. */
export class DecisionWriter {
  private isWriting = false;
  private notBeforeMs = 0;
  private readonly backoff: Backoff;

  private constructor(
    private readonly node: AcceptanceNode,
    private readonly sync: StoreSync,
    private readonly exchange: PeerExchange,
  ) {
    const {maxBackoffMs, random} = node.options;
    this.backoff = Backoff.create(RETRY_BASE_MS, maxBackoffMs, random);
    node.onAction(action => {
      if (action.kind === 'writeDecision') this.startWrite(action.decision);
    });
  }

  static create(
    node: AcceptanceNode,
    sync: StoreSync,
    exchange: PeerExchange,
  ): DecisionWriter {
    return new DecisionWriter(node, sync, exchange);
  }

  private startWrite(decision: Decision): void {
    if (this.isWriting || this.node.nowMs() < this.notBeforeMs) return;
    this.isWriting = true;
    void this.write(decision)
      .then(() => this.backoff.reset())
      .catch(error => {
        this.notBeforeMs = this.node.nowMs() + this.backoff.recordFailure();
        this.node.emit({kind: 'storeFailed', detail: String(error)});
      })
      .finally(() => {
        this.isWriting = false;
      });
  }

  private async write(decision: Decision): Promise<void> {
    const {node} = this;
    const stored = await this.sync.readHead();
    const pending = stored?.head.pending;
    if (stored === undefined || pending === undefined) return;
    const next = applyDecision(decision, stored.head);
    if (next === undefined) return;
    await this.archiveEvicted(stored.head, next);
    const sentAtMs = node.nowMs();
    const written = await this.replaceHead(stored, next, pending);
    if (!written) return;
    node.dispatch({kind: 'storeAnswered', head: next, sentAtMs});
    this.emitOutcome(stored.head, next, pending);
    void this.exchange.pushToAll();
  }

  private async replaceHead(
    stored: Parameters<AcceptanceNode['headStore']['replace']>[0],
    next: RulesHead,
    pending: PendingChange,
  ): Promise<boolean> {
    try {
      const result = await this.node.headStore.replace(stored, next);
      return result.status === 'written';
    } catch (error) {
      // The write may have taken effect even though its answer was lost.
      const current = await this.sync.readHead();
      if (current?.head.sequence !== next.sequence) throw error;
      return findChangeRecord(current.head, pending.changeId) !== undefined;
    }
  }

  private emitOutcome(
    base: RulesHead,
    next: RulesHead,
    pending: PendingChange,
  ): void {
    const {changeId, who, why} = pending;
    const record = findChangeRecord(next, changeId);
    const {revision} = next.rules;
    if (!isRulesChange(base.rules, pending)) {
      this.node.emit({kind: 'membersChanged', changeId, revision, who, why});
      return;
    }
    const kind =
      record?.state === 'accepted' ? 'changeAccepted' : 'changeRefused';
    const detail = record?.reason ?? '';
    this.node.emit({kind, changeId, revision, who, why, detail});
  }

  // Stores each record that `next` drops as an object of its own. This happens
  // before the head is replaced, so that no outcome is lost.
  private async archiveEvicted(
    head: RulesHead,
    next: RulesHead,
  ): Promise<void> {
    for (const record of head.recent) {
      if (findChangeRecord(next, record.changeId) !== undefined) continue;
      const key = `${CHANGE_RECORD_PREFIX}/${record.changeId}`;
      await this.node.headStore.putIfAbsent(key, JSON.stringify(record));
    }
  }
}
