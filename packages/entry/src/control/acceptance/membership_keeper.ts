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
import type {KeeperNode} from './keeper_node.js';
import {pause} from './timing.js';

/** Joins this entry to the members, and removes members that are lost. */
export class MembershipKeeper {
  private isLeaving = false;

  private constructor(
    private readonly node: KeeperNode,
    private readonly proposer: ChangeProposer,
  ) {}

  static create(node: KeeperNode, proposer: ChangeProposer): MembershipKeeper {
    return new MembershipKeeper(node, proposer);
  }

  /** Looks in each period whether the members should change. */
  async runLoop(): Promise<void> {
    const {options, stopSignal} = this.node;
    while (!stopSignal.aborted) {
      if (!this.isLeaving && this.mustPropose()) {
        await this.proposer.propose(
          head => this.createOffer(head, 'update of the members'),
          options.exchangePeriodMs,
        );
      }
      // A full jitter keeps entries that saw the same from colliding.
      await pause(options.exchangePeriodMs * options.random(), stopSignal);
    }
  }

  /** Tries to take this entry out of the members within the time. */
  async leave(timeoutMs: number): Promise<void> {
    const {node} = this;
    this.isLeaving = true;
    node.dispatch({kind: 'leaving'});
    const endAtMs = node.nowMs() + timeoutMs;
    const {knownHead: known, self} = node.state;
    if (known === undefined || !hasMember(known.members, self)) return;
    await this.proposer.propose(
      head => this.createOffer(head, 'a planned stop'),
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
    // Any one member is enough; on average one a period tries.
    return this.node.options.random() * known.members.length < 1;
  }

  private createOffer(head: RulesHead, why: string): ProposedChange | string {
    const members = this.resolveMembers(head);
    if (isSameMembers(members, head.members)) return 'Nothing to change.';
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
