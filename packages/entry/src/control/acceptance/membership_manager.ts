import {
  formatMemberKey,
  hasMember,
  isSameMembers,
  resolveMembers,
  type ProposedChange,
  type Member,
  type RulesHead,
} from '@anvilrudder/core';
import {randomUUID} from 'node:crypto';
import type {ChangeProposer} from './change_proposer.js';
import type {AcceptanceNode} from './acceptance_node.js';
import {pause} from './timing.js';

/**
 * Proposes changes of the members: to add this entry and other joiners, and to
 * remove lost members, members with a successor and, on a planned stop, this
 * entry.
 */
export class MembershipManager {
  private isLeaving = false;

  private constructor(
    private readonly node: AcceptanceNode,
    private readonly proposer: ChangeProposer,
  ) {}

  static create(
    node: AcceptanceNode,
    proposer: ChangeProposer,
  ): MembershipManager {
    return new MembershipManager(node, proposer);
  }

  /** Checks periodically whether to propose a change of the members. */
  async runLoop(): Promise<void> {
    const {options, stopSignal} = this.node;
    while (!stopSignal.aborted) {
      if (!this.isLeaving && this.mustPropose()) {
        await this.proposer.propose(
          head => this.createChange(head, 'update of the members'),
          options.exchangePeriodMs,
        );
      }
      // A random wait, so that entries that detect the same change do not all
      // propose it at once.
      await pause(options.exchangePeriodMs * options.random(), stopSignal);
    }
  }

  /**
   * Tries to remove this entry from the members, for up to `timeoutMs`
   * milliseconds.
   */
  async leave(timeoutMs: number): Promise<void> {
    const {node} = this;
    this.isLeaving = true;
    node.dispatch({kind: 'leaving'});
    const endAtMs = node.nowMs() + timeoutMs;
    const {knownHead: known, self} = node.state;
    if (known === undefined || !hasMember(known.members, self)) return;
    await this.proposer.propose(
      head => this.createChange(head, 'a planned stop'),
      timeoutMs,
    );
    await node.waitFor(
      () => !hasMember(node.state.knownHead?.members ?? [], self),
      endAtMs - node.nowMs(),
    );
  }

  private mustPropose(): boolean {
    const {knownHead: known, activeHead: active} = this.node.state;
    if (known === undefined || known.pending !== undefined) return false;
    if (active?.sequence !== known.sequence) return false;
    if (isSameMembers(this.resolveMembers(known), known.members)) return false;
    const {self} = this.node.state;
    if (!hasMember(known.members, self)) return true;
    // One proposal is enough, so each of n members makes it with probability
    // 1/n: if all members check once, one of them proposes on average.
    return this.node.options.random() * known.members.length < 1;
  }

  private createChange(head: RulesHead, why: string): ProposedChange | string {
    const members = this.resolveMembers(head);
    if (isSameMembers(members, head.members)) return 'Already up to date.';
    return {
      changeId: `members-${randomUUID()}`,
      digest: undefined,
      baseRevision: head.rules.revision,
      members,
      coordinator: this.node.state.self,
      who: this.node.state.self.host,
      why,
      vouchedHosts: [],
    };
  }

  private resolveMembers(head: RulesHead): readonly Member[] {
    const {state} = this.node;
    const {self} = state;
    const joiners = [...state.joiners.values()].map(joiner => joiner.member);
    if (!this.isLeaving) {
      return resolveMembers({
        members: head.members,
        joiners: [...joiners, self],
        lostKeys: this.listLostKeys(head),
        withoutHosts: [],
      });
    }
    return head.members.filter(
      member => formatMemberKey(member) !== formatMemberKey(self),
    );
  }

  private listLostKeys(head: RulesHead): ReadonlySet<string> {
    const {state, options, startedAtMs} = this.node;
    const {lostAfterMs, freshnessMs} = options.acceptance;
    const goneHosts = new Set(options.listUnlistedHosts());
    const nowMs = this.node.nowMs();
    const selfKey = formatMemberKey(state.self);
    const lost = head.members.filter(member => {
      const key = formatMemberKey(member);
      if (key === selfKey) return false;
      const heardAtMs = state.heardAtMs.get(key) ?? startedAtMs;
      const limitMs = goneHosts.has(member.host) ? freshnessMs : lostAfterMs;
      return nowMs - heardAtMs > limitMs;
    });
    return new Set(lost.map(formatMemberKey));
  }
}
