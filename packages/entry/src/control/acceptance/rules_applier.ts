import {
  RouterError,
  findChangeRecord,
  formatMemberKey,
  hasMember,
  resolveMembers,
  type ProposedChange,
  type ChangeRecord,
  type Finding,
  type RulesHead,
} from '@anvilrudder/core';
import type {ApplyRulesRequest, ChangeOutcome} from '../rules_manager.js';
import type {ChangeProposer, ProposeResult} from './change_proposer.js';
import {digestText, writeContent} from './content_store.js';
import {CHANGE_RECORD_PREFIX} from './decision_writer.js';
import type {AcceptanceNode} from './acceptance_node.js';
import type {PeerExchange} from './peer_exchange.js';
import type {StoreSync} from './store_sync.js';

/** Limits, in characters, of the texts that the head stores for each change. */
const MAX_WHO_LENGTH = 100;
const MAX_WHY_LENGTH = 500;
const CHANGE_ID_PATTERN = /^[\w.-]{1,100}$/;

/** Applies operators' changes of the rules and finds their outcomes. */
export class RulesApplier {
  private constructor(
    private readonly node: AcceptanceNode,
    private readonly sync: StoreSync,
    private readonly proposer: ChangeProposer,
    private readonly exchange: PeerExchange,
  ) {}

  static create(
    node: AcceptanceNode,
    sync: StoreSync,
    proposer: ChangeProposer,
    exchange: PeerExchange,
  ): RulesApplier {
    return new RulesApplier(node, sync, proposer, exchange);
  }

  /**
   * Checks a rule file, stores it, proposes the change and waits for its
   * outcome. Resolves to the recorded outcome if the change was decided before.
   */
  async apply(request: ApplyRulesRequest): Promise<ChangeOutcome> {
    const {node} = this;
    const endAtMs = node.nowMs() + node.options.applyTimeoutMs;
    const problem = checkRequest(request);
    if (problem !== undefined) return createRefusal(request, problem, []);
    const {rules, findings} = node.options.parse(request.content);
    if (rules === undefined) {
      return createRefusal(request, 'The rule file has errors.', findings);
    }
    try {
      const earlier = await this.findChange(request.changeId);
      if (earlier !== undefined && earlier.state !== 'undecided') {
        return earlier;
      }
      const digest = digestText(request.content);
      await writeContent(node.headStore, digest, request.content);
    } catch {
      const reason =
        'The object API is unavailable; this call changed nothing. Repeat it with its change id.';
      return createRefusal(request, reason, findings);
    }
    node.addContent(request.content);
    const running = await this.findRunningHost(request.withoutHosts);
    if (running !== undefined) {
      return createRefusal(request, describeRunningHost(running), findings);
    }
    const result = await this.proposer.propose(
      head => this.createChange(head, request),
      endAtMs - node.nowMs(),
    );
    return this.resolveResult(request, result, findings, endAtMs);
  }

  /**
   * Finds the outcome of a change.
   *
   * @returns undefined when no change with this id is known.
   * @throws RouterError `platform_unavailable` when the store is unavailable
   *   and the known head of this entry has no record of the change.
   */
  async findChange(changeId: string): Promise<ChangeOutcome | undefined> {
    try {
      return await this.findStored(changeId);
    } catch (error) {
      const {knownHead: known} = this.node.state;
      const record =
        known === undefined ? undefined : findChangeRecord(known, changeId);
      if (record !== undefined) return resolveOutcome(record, []);
      throw RouterError.create('The outcome cannot be read now.', {
        code: 'platform_unavailable',
        retryAfterMs: this.node.options.confirmPeriodMs,
        cause: error,
      });
    }
  }

  private async findStored(
    changeId: string,
  ): Promise<ChangeOutcome | undefined> {
    const stored = await this.sync.readHead();
    if (stored === undefined) return undefined;
    const {head} = stored;
    if (head.pending?.changeId === changeId) {
      return createUndecided(changeId, 'The change is not decided yet.');
    }
    const recent = findChangeRecord(head, changeId);
    if (recent !== undefined) return resolveOutcome(recent, []);
    const archived = await this.node.headStore.get(
      `${CHANGE_RECORD_PREFIX}/${changeId}`,
    );
    if (archived === undefined) return undefined;
    return resolveOutcome(JSON.parse(archived) as ChangeRecord, []);
  }

  // Calls each host, since a host may be running even though this entry has not
  // heard from it recently.
  private async findRunningHost(
    hosts: readonly string[],
  ): Promise<string | undefined> {
    const members = this.node.state.knownHead?.members ?? [];
    const asked = members.filter(member => hosts.includes(member.host));
    const answers = await Promise.all(
      asked.map(member => this.exchange.exchangeWith(member.peerAddress)),
    );
    const running = asked.find((member, index) => {
      const answer = answers[index];
      return answer !== undefined && hasMember([answer], member);
    });
    return running?.host;
  }

  private createChange(
    head: RulesHead,
    request: ApplyRulesRequest,
  ): ProposedChange | string {
    const {changeId, who, why, baseRevision, withoutHosts} = request;
    const refusalReason = this.checkWithoutHosts(head, withoutHosts);
    if (refusalReason !== undefined) return refusalReason;
    const {state} = this.node;
    const joiners = [...state.joiners.values()].map(joiner => joiner.member);
    const members =
      withoutHosts.length === 0
        ? head.members
        : resolveMembers({
            members: head.members,
            joiners,
            lostKeys: new Set(),
            withoutHosts,
          });
    return {
      changeId,
      digest: digestText(request.content),
      baseRevision,
      members,
      coordinator: state.self,
      who,
      why,
      vouchedHosts: withoutHosts,
    };
  }

  private checkWithoutHosts(
    head: RulesHead,
    hosts: readonly string[],
  ): string | undefined {
    const {state} = this.node;
    const nowMs = this.node.nowMs();
    for (const host of hosts) {
      const member = head.members.find(m => m.host === host);
      if (member === undefined) return `Host ${host} is not a member.`;
      const heardAtMs = state.heardAtMs.get(formatMemberKey(member));
      const isSelf = host === state.self.host;
      const ageMs = nowMs - (heardAtMs ?? -Infinity);
      if (isSelf || ageMs < state.options.freshnessMs) {
        return describeRunningHost(host);
      }
    }
    return undefined;
  }

  private async resolveResult(
    request: ApplyRulesRequest,
    result: ProposeResult,
    findings: readonly Finding[],
    endAtMs: number,
  ): Promise<ChangeOutcome> {
    if (result.kind === 'decided') {
      return resolveOutcome(result.record, findings);
    }
    if (result.kind === 'refused') {
      return createRefusal(request, result.reason, findings);
    }
    if (result.kind === 'busy') {
      return createRefusal(request, 'Another change is undecided.', findings);
    }
    if (result.kind === 'failed' && !result.isUnknown) {
      return createRefusal(request, 'The object API is unavailable.', findings);
    }
    const record = await this.waitForRecord(request.changeId, endAtMs);
    if (record !== undefined) return resolveOutcome(record, findings);
    return createUndecided(
      request.changeId,
      'The outcome is not known yet; ask for it by the change id.',
    );
  }

  private async waitForRecord(
    changeId: string,
    endAtMs: number,
  ): Promise<ChangeRecord | undefined> {
    const {node} = this;
    const find = (): ChangeRecord | undefined =>
      node.state.knownHead === undefined
        ? undefined
        : findChangeRecord(node.state.knownHead, changeId);
    await node.waitFor(() => find() !== undefined, endAtMs - node.nowMs());
    return find();
  }
}

function describeRunningHost(host: string): string {
  return `Host ${host} is running and cannot be left out.`;
}

function checkRequest(request: ApplyRulesRequest): string | undefined {
  const {changeId, who, why} = request;
  if (!CHANGE_ID_PATTERN.test(changeId)) {
    return 'A change id has 1 to 100 letters, digits, dots, dashes or underscores.';
  }
  if (who.length > MAX_WHO_LENGTH || why.length > MAX_WHY_LENGTH) {
    return `The operator's name and the reason have at most ${MAX_WHO_LENGTH} and ${MAX_WHY_LENGTH} characters.`;
  }
  return undefined;
}

function createRefusal(
  request: ApplyRulesRequest,
  reason: string,
  findings: readonly Finding[],
): ChangeOutcome {
  const {changeId, baseRevision} = request;
  return {
    changeId,
    state: 'refused',
    revision: baseRevision,
    reason,
    findings,
    silentHosts: [],
  };
}

function createUndecided(changeId: string, reason: string): ChangeOutcome {
  return {
    changeId,
    state: 'undecided',
    revision: 0,
    reason,
    findings: [],
    silentHosts: [],
  };
}

function resolveOutcome(
  record: ChangeRecord,
  findings: readonly Finding[],
): ChangeOutcome {
  const {changeId, state, revision, reason, silentHosts} = record;
  return {changeId, state, revision, reason, findings, silentHosts};
}
