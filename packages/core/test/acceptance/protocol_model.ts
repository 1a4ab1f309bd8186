import {
  applyDecision,
  createAnswer,
  createEntryState,
  createProposal,
  createReport,
  formatMemberKey,
  hasMember,
  isSameMembers,
  listMissingDigests,
  resolveDecision,
  resolveMembers,
  resolveServingBasis,
  stepEntry,
  type AcceptanceOptions,
  type EntryEvent,
  type EntryState,
  type Member,
  type PeerReport,
  type RulesHead,
} from '../../src/index.js';

const OPTIONS: AcceptanceOptions = {
  freshnessMs: 4,
  marginMs: 1,
  abortAfterMs: 4,
  coordinatorSilenceMs: 3,
  lostAfterMs: 12,
};
const START_MS = 100;

/** One step of a schedule; numbers select entries and messages modulo. */
export interface ScheduledAction {
  readonly kind: ActionKind;
  readonly a: number;
  readonly b: number;
}

export type ActionKind =
  | 'tick'
  | 'exchange'
  | 'gather'
  | 'ask'
  | 'confirm'
  | 'readStore'
  | 'load'
  | 'propose'
  | 'proposeMembers'
  | 'decide'
  | 'decideSlowly'
  | 'deliver'
  | 'drop'
  | 'restart'
  | 'kill'
  | 'proposeWithout';

/** Replaces parts of the protocol, to show that the exploration sees it. */
export interface Variant {
  readonly beforeDecision?: (state: EntryState) => EntryState;
  readonly beforeServing?: (state: EntryState, nowMs: number) => EntryState;
  readonly changeReport?: (state: EntryState, report: PeerReport) => PeerReport;
  readonly answerSentAtMs?: (sentAtMs: number, nowMs: number) => number;
  readonly hasStaleConfirmations?: boolean;
  readonly isJoinOneStep?: boolean;
}

interface Message {
  readonly run: () => void;
}

export interface ModelCounts {
  accepted: number;
  refused: number;
  memberChanges: number;
  servedByPeers: number;
  guestServed: number;
}

/** A store and some entries whose messages a schedule orders. */
export class ProtocolModel {
  readonly counts: ModelCounts = {
    accepted: 0,
    refused: 0,
    memberChanges: 0,
    servedByPeers: 0,
    guestServed: 0,
  };
  violation: string | undefined;
  private readonly dead = new Set<string>();
  private nowMs = START_MS;
  private head: RulesHead;
  private readonly olderHeads: RulesHead[] = [];
  private readonly entries: EntryState[];
  private readonly messages: Message[] = [];
  private changeCount = 0;
  private runCount = 0;

  private constructor(
    memberCount: number,
    guestCount: number,
    private readonly variant: Variant,
  ) {
    const all = Array.from({length: memberCount + guestCount}, (_, index) =>
      createMember(index, this.runCount++),
    );
    this.head = {
      sequence: 1,
      rules: {revision: 1, digest: 'r1'},
      members: all.slice(0, memberCount),
      pending: undefined,
      recent: [],
    };
    this.entries = all.map(member => createEntryState(member, OPTIONS));
    this.entries.forEach((_, index) => {
      this.step(index, {kind: 'contentLoaded', digest: 'r1'});
      this.confirm(index);
    });
  }

  static create(
    memberCount: number,
    guestCount: number,
    variant: Variant = {},
  ): ProtocolModel {
    return new ProtocolModel(memberCount, guestCount, variant);
  }

  /** Runs a schedule until it ends or an invariant is broken. */
  run(actions: readonly ScheduledAction[]): string | undefined {
    for (const action of actions) {
      this.handlers[action.kind](action.a % this.entries.length, action.b);
      this.check();
      if (this.violation !== undefined) return this.violation;
    }
    return undefined;
  }

  private readonly handlers: Readonly<
    Record<ActionKind, (index: number, other: number) => void>
  > = {
    tick: () => {
      this.nowMs += 1;
    },
    exchange: (index, other) => this.ask(index, other, run => run()),
    ask: (index, other) => this.ask(index, other, run => this.send(run)),
    gather: index => {
      for (let other = 0; other < this.entries.length - 1; other++) {
        this.ask(index, other, run => run());
        const peer = (index + 1 + other) % this.entries.length;
        this.handlers.load(peer, 0);
        this.ask(index, other, run => run());
      }
    },
    confirm: index => this.confirm(index),
    readStore: index => {
      const sentAtMs = this.nowMs;
      const {self} = this.entries[index];
      this.send(() => {
        const {head} = this;
        this.send(() => {
          if (this.entries[index].self !== self) return;
          this.step(index, {kind: 'storeAnswered', head, sentAtMs});
        });
      });
    },
    load: index => {
      for (const digest of listMissingDigests(this.entries[index])) {
        this.step(index, {kind: 'contentLoaded', digest});
      }
    },
    propose: index => this.propose(index, true, run => run()),
    proposeMembers: index => this.propose(index, false, run => run()),
    decide: index => this.decide(index, run => run()),
    decideSlowly: index => this.decide(index, run => this.send(run)),
    deliver: (_, other) => {
      const [message] = this.messages.splice(other % this.messages.length, 1);
      message?.run();
    },
    drop: (_, other) => {
      this.messages.splice(other % this.messages.length, 1);
    },
    kill: index => {
      this.dead.add(this.entries[index].self.host);
    },
    proposeWithout: index => this.propose(index, true, run => run(), true),
    restart: index => {
      this.dead.delete(this.entries[index].self.host);
      const host = Number(this.entries[index].self.host.slice(1));
      const self = createMember(host, this.runCount++);
      this.entries[index] = createEntryState(self, OPTIONS);
    },
  };

  private send(run: () => void): void {
    this.messages.push({run});
  }

  private step(index: number, event: EntryEvent): void {
    const before = this.entries[index];
    if (this.dead.has(before.self.host)) return;
    const {state} = stepEntry(before, event, this.nowMs);
    const earlier = before.knownHead?.sequence ?? 0;
    if ((state.knownHead?.sequence ?? 0) < earlier) {
      this.violation = `entry ${index} went back from ${earlier}`;
    }
    this.entries[index] = state;
  }

  private ask(
    index: number,
    other: number,
    transmit: (run: () => void) => void,
  ): void {
    const peer =
      (index + 1 + (other % (this.entries.length - 1))) % this.entries.length;
    const {self} = this.entries[index];
    if (this.dead.has(self.host)) return;
    const sentAtMs = this.nowMs;
    const request = this.createReport(index);
    transmit(() => {
      if (this.dead.has(this.entries[peer].self.host)) return;
      this.step(peer, {kind: 'peerAsked', report: request});
      const answer = this.createAnswer(peer, request);
      transmit(() => {
        if (this.entries[index].self !== self) return;
        const countedAtMs =
          this.variant.answerSentAtMs?.(sentAtMs, this.nowMs) ?? sentAtMs;
        this.step(index, {
          kind: 'peerAnswered',
          report: answer,
          sentAtMs: countedAtMs,
        });
      });
    });
  }

  private createReport(index: number): PeerReport {
    const state = this.entries[index];
    const report = createReport(state, this.nowMs, {
      hasHead: true,
      hasAges: false,
      isGuestGrant: false,
    });
    return this.variant.changeReport?.(state, report) ?? report;
  }

  private createAnswer(index: number, request: PeerReport): PeerReport {
    const state = this.entries[index];
    const report = createAnswer(state, request, this.nowMs);
    return this.variant.changeReport?.(state, report) ?? report;
  }

  private confirm(index: number): void {
    const isStale = this.variant.hasStaleConfirmations === true;
    const head = isStale ? (this.olderHeads.at(-1) ?? this.head) : this.head;
    this.step(index, {kind: 'storeAnswered', head, sentAtMs: this.nowMs});
  }

  private propose(
    index: number,
    hasRules: boolean,
    transmit: (run: () => void) => void,
    isVouching = false,
  ): void {
    const state = this.entries[index];
    const {knownHead: known} = state;
    if (known === undefined || this.dead.has(state.self.host)) return;
    const withoutHosts = isVouching ? [...this.dead] : [];
    const members = resolveMembers({
      members: known.members,
      joiners: [
        ...[...state.joiners.values()].map(joiner => joiner.member),
        ...(hasMember(known.members, state.self) ? [] : [state.self]),
      ],
      lostKeys: this.listLostKeys(state, known),
      withoutHosts,
    });
    if (!hasRules && isSameMembers(members, known.members)) return;
    const changeId = `c${this.changeCount++}`;
    const result = createProposal(known, {
      changeId,
      digest: hasRules ? `r-${changeId}` : undefined,
      baseRevision: known.rules.revision,
      members,
      coordinator: state.self,
      who: 'w',
      why: 'y',
      vouchedHosts: withoutHosts,
    });
    if (result.kind !== 'proposed') return;
    if (hasRules) {
      this.step(index, {kind: 'contentLoaded', digest: `r-${changeId}`});
    }
    const isOneStep = this.variant.isJoinOneStep === true && !hasRules;
    const next = isOneStep
      ? {...result.next, members, pending: undefined}
      : result.next;
    transmit(() => this.write(index, known, next));
  }

  private listLostKeys(state: EntryState, known: RulesHead): Set<string> {
    const keys = known.members.map(formatMemberKey).filter(key => {
      const heardAtMs = state.heardAtMs.get(key) ?? START_MS;
      return (
        key !== formatMemberKey(state.self) &&
        this.nowMs - heardAtMs > OPTIONS.lostAfterMs
      );
    });
    return new Set(keys);
  }

  private decide(index: number, transmit: (run: () => void) => void): void {
    const state = this.entries[index];
    if (this.dead.has(state.self.host)) return;
    const input = this.variant.beforeDecision?.(state) ?? state;
    const decision = resolveDecision(input, this.nowMs);
    if (decision === undefined || state.knownHead === undefined) return;
    const base = state.knownHead;
    const next = applyDecision(decision, base);
    if (next !== undefined) transmit(() => this.write(index, base, next));
  }

  private write(index: number, base: RulesHead, next: RulesHead): void {
    const {head} = this;
    if (head.sequence !== base.sequence) {
      this.step(index, {kind: 'headLearned', head});
      return;
    }
    if (next.rules.revision > head.rules.revision) {
      this.counts.accepted += 1;
      if (next.rules.revision !== head.rules.revision + 1) {
        this.violation = 'two changes accepted from one base';
      }
    } else if (head.pending !== undefined) {
      this.counts.refused += 1;
    }
    if (!isSameMembers(next.members, head.members)) {
      this.counts.memberChanges += 1;
    }
    this.olderHeads.push(head);
    this.head = next;
    this.step(index, {kind: 'headLearned', head: next});
  }

  private check(): void {
    const {digest} = this.head.rules;
    this.entries.forEach((entry, index) => {
      if (this.dead.has(entry.self.host)) return;
      const state = this.variant.beforeServing?.(entry, this.nowMs) ?? entry;
      const servesBy = resolveServingBasis(state, this.nowMs);
      if (servesBy === 'none' || state.activeHead === undefined) return;
      if (servesBy === 'peers') this.counts.servedByPeers += 1;
      if (!hasMember(state.activeHead.members, state.self)) {
        this.counts.guestServed += 1;
      }
      const {rules, pending} = state.activeHead;
      const allowedBy = [rules.digest, pending?.rules.digest];
      if (allowedBy.includes(digest)) return;
      this.violation = `entry ${index} serves ${rules.digest} by ${servesBy} after ${digest} was accepted`;
    });
  }
}

function createMember(index: number, run: number): Member {
  return {
    host: `h${index}`,
    incarnation: `i${run}`,
    failureDomain: `d${index % 3}`,
    peerAddress: `127.0.0.1:${9000 + index}`,
  };
}
