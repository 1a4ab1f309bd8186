import {
  createAnswer,
  createReport,
  formatMemberKey,
  isFullMember,
  isGuestOf,
  listMissingDigests,
  resolveRoster,
  type Member,
  type PeerReport,
} from '@anvilrudder/core';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  FetchContentResponseSchema,
  decodeReport,
  encodeReport,
  readMembersDigest,
  digestMembers,
  type ExchangeRequest,
  type ExchangeResponse,
  type FetchContentRequest,
  type FetchContentResponse,
  type PeerClient,
  type PeerHandler,
} from '@anvilrudder/peers';
import {create} from '@bufbuild/protobuf';
import type {ContentLoader} from './content_loader.js';
import type {KeeperNode} from './keeper_node.js';
import {selectRandom} from './selection.js';
import {pause} from './timing.js';

/** Resolution of the ages in reports: age units per `freshnessMs`. */
const AGE_UNITS_PER_FRESHNESS = 200;
/**
 * The exchange period is multiplied by a random factor between the minimum and
 * the minimum plus the range.
 */
const MIN_JITTER_FACTOR = 0.8;
const JITTER_FACTOR_RANGE = 0.4;

/** Sends reports to peers and answers the reports of peers. */
export class PeerExchange implements PeerHandler {
  /** By address, the sequence number of the peer's known head. */
  private readonly peerSequences = new Map<string, number>();
  /** Addresses to which an exchange is in flight. */
  private readonly inFlight = new Set<string>();

  private constructor(
    private readonly node: KeeperNode,
    private readonly client: PeerClient,
    private readonly loader: ContentLoader,
  ) {}

  static create(
    node: KeeperNode,
    client: PeerClient,
    loader: ContentLoader,
  ): PeerExchange {
    return new PeerExchange(node, client, loader);
  }

  /** Exchanges reports with some peers in each period until the stop signal. */
  async runLoop(): Promise<void> {
    const {options, stopSignal} = this.node;
    while (!stopSignal.aborted) {
      this.dropUnusedAddresses();
      for (const address of this.selectAddresses()) {
        if (!this.inFlight.has(address)) void this.exchangeWith(address);
      }
      const jitter = MIN_JITTER_FACTOR + JITTER_FACTOR_RANGE * options.random();
      await pause(options.exchangePeriodMs * jitter, stopSignal);
    }
  }

  /** Sends the known head to all known peers and waits for their answers. */
  async pushToAll(): Promise<void> {
    const addresses = new Set(this.listAddresses());
    await Promise.all(
      [...addresses].map(address => this.exchangeWith(address, true)),
    );
  }

  /**
   * Exchanges reports with one peer. A failure is not reported, since further
   * periods try again. A push includes the known head, unless the peer is known
   * to have it already.
   *
   * @returns the entry that answered, or undefined without an answer.
   */
  async exchangeWith(
    address: string,
    isPush = false,
  ): Promise<Member | undefined> {
    const {node} = this;
    const sentAtMs = node.nowMs();
    const request = this.createRequest(address, isPush);
    this.inFlight.add(address);
    try {
      const response = await this.client.exchange(
        address,
        request,
        node.stopSignal,
      );
      return this.handleAnswer(address, response, sentAtMs);
    } catch {
      return undefined;
    } finally {
      this.inFlight.delete(address);
    }
  }

  /**
   * Answers a peer's report. If the peer knows a newer head or rule files are
   * missing, the answer waits a short time for them to be loaded.
   */
  async exchange(request: ExchangeRequest): Promise<ExchangeResponse> {
    const {node} = this;
    const report = this.decode(request.report);
    if (report === undefined || request.report === undefined) {
      return create(ExchangeResponseSchema, {});
    }
    if (report.head !== undefined) {
      this.loader.setPreferredAddress(report.sender.peerAddress);
    }
    node.dispatch({kind: 'peerAsked', report});
    if (report.knownSequence > (node.state.knownHead?.sequence ?? 0)) {
      await Promise.race([
        this.exchangeWith(report.sender.peerAddress),
        pause(node.options.loadWaitMs, node.stopSignal),
      ]);
    }
    const isLoaded = await this.waitForContent(node.options.loadWaitMs);
    if (!isLoaded) void this.exchangeWhenLoaded(report.sender.peerAddress);
    // The active head may have changed during the waits, which can make the
    // sender a guest. Its grant must be recorded before the answer states it.
    if (isGuestOf(node.state, report)) {
      node.dispatch({kind: 'peerAsked', report});
    }
    const answer = createAnswer(node.state, report, node.nowMs());
    return create(ExchangeResponseSchema, {
      report: this.encode(answer, readMembersDigest(request.report)),
    });
  }

  /** Answers with a rule file from the cache, or undefined if it has none. */
  fetchContent(request: FetchContentRequest): FetchContentResponse | undefined {
    const content = this.node.contents.answerFetch(request);
    if (content === undefined) return undefined;
    return create(FetchContentResponseSchema, {content});
  }

  private async waitForContent(timeoutMs: number): Promise<boolean> {
    const {node} = this;
    return node.waitFor(
      () => listMissingDigests(node.state).length === 0,
      timeoutMs,
    );
  }

  private async exchangeWhenLoaded(address: string): Promise<void> {
    const {abortAfterMs} = this.node.options.acceptance;
    if (await this.waitForContent(abortAfterMs)) {
      await this.exchangeWith(address);
    }
  }

  private dropUnusedAddresses(): void {
    const addresses = new Set(this.listAddresses());
    this.client.retainAddresses(addresses);
    for (const address of this.peerSequences.keys()) {
      if (!addresses.has(address)) this.peerSequences.delete(address);
    }
  }

  private handleAnswer(
    address: string,
    response: ExchangeResponse,
    sentAtMs: number,
  ): Member | undefined {
    const {node} = this;
    const report = this.decode(response.report);
    if (report === undefined) return undefined;
    this.peerSequences.set(address, report.knownSequence);
    if (report.head !== undefined) this.loader.setPreferredAddress(address);
    node.dispatch({kind: 'peerAnswered', report, sentAtMs});
    this.reapplyAnswerWhenLoaded(address, report, sentAtMs);
    return report.sender;
  }

  // The state ignores the ages of an answer whose active head is newer than its
  // own, so the answer is applied again once the newer head is active.
  private reapplyAnswerWhenLoaded(
    address: string,
    report: PeerReport,
    sentAtMs: number,
  ): void {
    const {node} = this;
    const isLoaded = (): boolean =>
      (node.state.activeHead?.sequence ?? 0) >= report.activeSequence;
    if (isLoaded()) return;
    void node.waitFor(isLoaded, node.options.loadWaitMs).then(isMet => {
      if (!isMet) return;
      node.dispatch({kind: 'peerAnswered', report, sentAtMs});
      void this.exchangeWith(address);
    });
  }

  // The request contains neither the members, nor the head unless it is a push.
  // A peer that lacks them sends a request of its own and gets them in the
  // answer.
  private createRequest(address: string, isPush: boolean): ExchangeRequest {
    const {node} = this;
    const peerSequence = this.peerSequences.get(address) ?? 0;
    const known = node.state.knownHead?.sequence ?? 0;
    const report = createReport(node.state, node.nowMs(), {
      hasHead: isPush && peerSequence < known,
      hasAges: false,
      isGuestGrant: false,
    });
    return create(ExchangeRequestSchema, {
      report: this.encode(report, this.resolveOwnMembersDigest()),
    });
  }

  private encode(report: PeerReport, receiverMembersDigest: string) {
    const {freshnessMs} = this.node.options.acceptance;
    return encodeReport(report, {
      receiverMembersDigest,
      membersDigest: this.resolveOwnMembersDigest(),
      ageUnitMs: Math.max(1, Math.ceil(freshnessMs / AGE_UNITS_PER_FRESHNESS)),
    });
  }

  private resolveOwnMembersDigest(): string {
    const {knownHead: known} = this.node.state;
    return known === undefined ? '' : digestMembers(known.members);
  }

  private decode(message: ExchangeRequest['report']): PeerReport | undefined {
    if (message === undefined) return undefined;
    return decodeReport(message, digest => this.findMembers(digest));
  }

  private findMembers(digest: string): readonly Member[] | undefined {
    const {knownHead: known, activeHead: active} = this.node.state;
    const lists = [known?.members, known?.pending?.members, active?.members];
    return lists.find(
      list => list !== undefined && digestMembers(list) === digest,
    );
  }

  private selectAddresses(): readonly string[] {
    const {options, state} = this.node;
    const addresses = this.listAddresses();
    const fanout = this.resolveFanout();
    const selected = selectRandom(addresses, fanout, options.random);
    const {knownHead: known} = state;
    const isCoordinator =
      known?.pending?.coordinator.host === state.self.host &&
      known.pending.coordinator.incarnation === state.self.incarnation;
    if (known === undefined || !isCoordinator) return selected;
    const silent = resolveRoster(known)
      .filter(member => !state.ackedAtMs.has(formatMemberKey(member)))
      .map(member => member.peerAddress);
    return [...new Set([...selected, ...silent])].filter(
      address => address !== state.self.peerAddress,
    );
  }

  // A guest needs grants, which a member gives only in its own answers. It
  // therefore asks enough peers per period to reach about as many peers within
  // `freshnessMs` as there are members.
  private resolveFanout(): number {
    const {options, state} = this.node;
    const {knownHead: known} = state;
    if (known === undefined || isFullMember(state)) return options.fanout;
    const {exchangePeriodMs, acceptance} = options;
    const periodShare = exchangePeriodMs / acceptance.freshnessMs;
    return Math.max(
      options.fanout,
      Math.ceil(known.members.length * periodShare),
    );
  }

  private listAddresses(): readonly string[] {
    const {options, state} = this.node;
    const addresses = this.node.listPeers().map(member => member.peerAddress);
    const seeds =
      state.knownHead === undefined ? options.listSeedAddresses() : [];
    return [...addresses, ...seeds].filter(
      address => address !== state.self.peerAddress,
    );
  }
}
