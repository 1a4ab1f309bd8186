import {
  formatMemberKey,
  resolveRoster,
  resolveServingBasis,
  type Member,
} from '@anvilrudder/core';
import {
  PeerClient,
  TrafficCounter,
  createPeerRoutes,
  type PeerRoutes,
  type Traffic,
} from '@anvilrudder/peers';
import type {Server} from 'node:http';
import type {
  MemberStatus,
  RulesInForce,
  RulesManager,
  RulesStatus,
} from '../rules_manager.js';
import {ChangeProposer} from './change_proposer.js';
import {ContentLoader} from './content_loader.js';
import {DecisionWriter} from './decision_writer.js';
import type {StoreCallCounts} from './head_store.js';
import {AcceptanceNode} from './acceptance_node.js';
import {
  resolveRulesManagerOptions,
  type RulesManagerOptions,
} from './rules_manager_options.js';
import {MembershipManager} from './membership_manager.js';
import {PeerExchange} from './peer_exchange.js';
import {RulesApplier} from './rules_applier.js';
import {StoreSync} from './store_sync.js';

/** Traffic and store calls of a rules manager since its start. */
export interface ControlCounters {
  /** Calls to peers and the bytes of the connections to them. */
  readonly peerClient: Traffic;
  /** Bytes of the connections from peers; zero until a server is tracked. */
  readonly peerServer: Traffic;
  readonly store: StoreCallCounts;
}

/** A rules manager that takes part in accepting rule changes. */
export interface AcceptanceManager extends RulesManager {
  /** Routes to mount on the entry's peer port. */
  readonly routes: PeerRoutes;
  /** Counts the traffic of the server that carries the routes. */
  trackPeerServer(server: Server): void;
  counters(): ControlCounters;
  /** Resolves to true once this entry may serve, or to false on timeout. */
  waitUntilServing(timeoutMs: number): Promise<boolean>;
}

/**
 * Creates a rules manager and starts its background loops. Peers must be able to reach
 * its routes at `self.peerAddress`.
 *
 * @throws Error when the initial rules have errors.
 * @example
 * ```ts
 * const rulesManager = createRulesManager({self, store, parse: parseRules});
 * const handler = connectNodeAdapter({routes: rulesManager.routes});
 * ```
 */
export function createRulesManager(
  options: RulesManagerOptions,
): AcceptanceManager {
  const resolved = resolveRulesManagerOptions(options);
  const {initialRules} = resolved;
  if (
    initialRules !== undefined &&
    resolved.parse(initialRules).rules === undefined
  ) {
    throw new Error('The initial rule file has errors.');
  }
  const node = AcceptanceNode.create(resolved);
  const clientTraffic = TrafficCounter.create();
  const serverTraffic = TrafficCounter.create();
  const client = PeerClient.create({
    timeoutMs: resolved.peerTimeoutMs,
    tls: resolved.tls,
    localAddress: resolved.localAddress,
    traffic: clientTraffic,
  });
  const loader = ContentLoader.create(node, client);
  const exchange = PeerExchange.create(node, client, loader);
  const sync = StoreSync.create(node);
  DecisionWriter.create(node, sync, exchange);
  const proposer = ChangeProposer.create(node, sync, exchange);
  const applier = RulesApplier.create(node, sync, proposer, exchange);
  const membership = MembershipManager.create(node, proposer);
  const loops = [
    node.runTickLoop(),
    exchange.runLoop(),
    sync.runConfirmLoop(),
    sync.runWatchLoop(),
    membership.runLoop(),
  ];
  for (const loop of loops) {
    loop.catch(error => {
      node.emit({kind: 'loopFailed', detail: String(error)});
    });
  }
  const inForce = createInForceReader(node);
  return {
    inForce,
    apply: request => applier.apply(request),
    findChange: changeId => applier.findChange(changeId),
    content: () => resolveContent(node),
    status: () => createStatus(node),
    routes: createPeerRoutes(exchange),
    trackPeerServer: server => {
      server.on('connection', socket => serverTraffic.track(socket));
    },
    counters: () => ({
      peerClient: clientTraffic.read(),
      peerServer: serverTraffic.read(),
      store: node.headStore.readCallCounts(),
    }),
    waitUntilServing: timeoutMs =>
      node.waitFor(() => inForce() !== undefined, timeoutMs),
    stop: async () => {
      if (node.stopSignal.aborted) return;
      await membership.leave(resolved.leaveTimeoutMs);
      node.stop();
      await Promise.allSettled(loops);
      client.close();
    },
  };
}

// Caches the rules in force until the active head changes, since they are read
// for every dispatch.
function createInForceReader(
  node: AcceptanceNode,
): () => RulesInForce | undefined {
  let sequence = 0;
  let cached: RulesInForce | undefined;
  return () => {
    const {state} = node;
    if (node.stopSignal.aborted) return undefined;
    if (resolveServingBasis(state, node.nowMs()) === 'none') return undefined;
    if (
      state.activeHead !== undefined &&
      state.activeHead.sequence !== sequence
    ) {
      sequence = state.activeHead.sequence;
      cached = resolveRulesInForce(node);
    }
    return cached;
  };
}

function resolveRulesInForce(node: AcceptanceNode): RulesInForce | undefined {
  const {activeHead: active} = node.state;
  if (active === undefined) return undefined;
  const current = node.contents.get(active.rules.digest);
  if (current === undefined) return undefined;
  const {pending} = active;
  if (pending === undefined || pending.rules.digest === active.rules.digest) {
    const {revision} = active.rules;
    return {revision, rules: current.rules, pendingRules: undefined};
  }
  const next = node.contents.get(pending.rules.digest);
  if (next === undefined) return undefined;
  return {
    revision: active.rules.revision,
    rules: current.rules,
    pendingRules: next.rules,
  };
}

function resolveContent(node: AcceptanceNode): string {
  const {activeHead: active} = node.state;
  if (active === undefined) return '';
  return node.contents.get(active.rules.digest)?.text ?? '';
}

function createStatus(node: AcceptanceNode): RulesStatus {
  const {state} = node;
  const {activeHead: active, confirmedAtMs} = state;
  const nowMs = node.nowMs();
  const servesBy = node.stopSignal.aborted
    ? 'none'
    : resolveServingBasis(state, nowMs);
  return {
    revision: active?.rules.revision ?? 0,
    digest: active?.rules.digest ?? '',
    pendingChangeId: active?.pending?.changeId,
    isServing: servesBy !== 'none',
    servesBy,
    confirmedAgeMs: Math.round(nowMs - (confirmedAtMs ?? node.startedAtMs)),
    members:
      active === undefined
        ? []
        : resolveRoster(active).map(m => createMemberStatus(node, m, nowMs)),
  };
}

function createMemberStatus(
  node: AcceptanceNode,
  member: Member,
  nowMs: number,
): MemberStatus {
  const {state} = node;
  const {host, incarnation, failureDomain, peerAddress} = member;
  const key = formatMemberKey(member);
  const isSelf = key === formatMemberKey(state.self);
  const heardAtMs = isSelf ? nowMs : state.heardAtMs.get(key);
  const isCurrent = state.ackedAtMs.has(key);
  return {
    host,
    incarnation,
    failureDomain,
    peerAddress,
    heardAgeMs:
      heardAtMs === undefined ? undefined : Math.round(nowMs - heardAtMs),
    revision: isCurrent ? state.knownHead?.rules.revision : undefined,
  };
}
