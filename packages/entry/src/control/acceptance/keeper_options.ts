import {
  ACCEPTANCE_DEFAULTS,
  type AcceptanceOptions,
  type Finding,
  type Member,
  type ObjectStore,
  type RuleSet,
} from '@anvilrudder/core';
import type {PeerTlsProvider} from '@anvilrudder/peers';

/** Outcome of parsing a rule file; `rules` is unset when it has errors. */
export interface ParsedRules {
  readonly rules: RuleSet | undefined;
  readonly findings: readonly Finding[];
}

/** Something the keeper did or saw, for logs and the audit trail. */
export interface KeeperEvent {
  readonly kind:
    | 'headCreated'
    | 'changeProposed'
    | 'changeAccepted'
    | 'changeRefused'
    | 'membersChanged'
    | 'contentInvalid'
    | 'storeFailed'
    | 'loopFailed';
  readonly changeId: string;
  readonly revision: number;
  readonly who: string;
  readonly why: string;
  readonly detail: string;
}

/** What a keeper needs to know; the rest has defaults. */
export interface RulesKeeperOptions {
  /** This run of this entry. `peerAddress` must be reachable by peers. */
  readonly self: Member;
  readonly store: ObjectStore;
  readonly parse: (text: string) => ParsedRules;
  /** Rule file that the first entry of a deployment installs as revision 1. */
  readonly initialRules?: string;
  /** Peer addresses to ask while no head is known, from settings or hosts. */
  readonly listSeedAddresses?: () => readonly string[];
  /** Hosts that the host list no longer has; removed once they are silent. */
  readonly listUnlistedHosts?: () => readonly string[];
  /** Certificates for calls to peers; plain HTTP without them. */
  readonly tls?: PeerTlsProvider | undefined;
  /** Local address of connections to peers. */
  readonly localAddress?: string;
  readonly acceptance?: Partial<AcceptanceOptions>;
  /** Period of exchanges with peers. Default 1000. */
  readonly exchangePeriodMs?: number;
  /** Peers asked in each period. Default 3. */
  readonly fanout?: number;
  /** Period of confirmations of the head at the store. Default 1000. */
  readonly confirmPeriodMs?: number;
  /** Members that watch and confirm the head at the store. Default 3. */
  readonly watcherCount?: number;
  /** Longest wait of a watch. Default 20000. */
  readonly watchTimeoutMs?: number;
  /** Bound of a call to a peer. Default 1000. */
  readonly peerTimeoutMs?: number;
  /** Bound of a call to the store, save for a watch. Default 2000. */
  readonly storeTimeoutMs?: number;
  /** How long an answer to a peer waits for content. Default 500. */
  readonly loadWaitMs?: number;
  /** Largest delay between retries of a failing call. Default 8000. */
  readonly maxBackoffMs?: number;
  /** How long `apply` waits before it answers undecided. Default 30000. */
  readonly applyTimeoutMs?: number;
  /** How long `stop` tries to leave the members. Default 2000. */
  readonly leaveTimeoutMs?: number;
  /** A generator of numbers from 0 to below 1. Default `Math.random`. */
  readonly random?: () => number;
  readonly onEvent?: (event: KeeperEvent) => void;
}

/** The options with every default filled in. */
export interface ResolvedKeeperOptions extends Required<
  Omit<
    RulesKeeperOptions,
    'tls' | 'localAddress' | 'initialRules' | 'acceptance'
  >
> {
  readonly acceptance: AcceptanceOptions;
  readonly initialRules: string | undefined;
  readonly tls: PeerTlsProvider | undefined;
  readonly localAddress: string | undefined;
}

/**
 * Fills in the defaults of the options of a keeper.
 *
 * @example
 * ```ts
 * resolveKeeperOptions({self, store, parse}).fanout; // 3
 * ```
 */
export function resolveKeeperOptions(
  options: RulesKeeperOptions,
): ResolvedKeeperOptions {
  return {
    listSeedAddresses: () => [],
    listUnlistedHosts: () => [],
    exchangePeriodMs: 1_000,
    fanout: 3,
    confirmPeriodMs: 1_000,
    watcherCount: 3,
    watchTimeoutMs: 20_000,
    peerTimeoutMs: 1_000,
    storeTimeoutMs: 2_000,
    loadWaitMs: 500,
    maxBackoffMs: 8_000,
    applyTimeoutMs: 30_000,
    leaveTimeoutMs: 2_000,
    random: Math.random,
    onEvent: () => {},
    ...options,
    initialRules: options.initialRules,
    tls: options.tls,
    localAddress: options.localAddress,
    acceptance: {...ACCEPTANCE_DEFAULTS, ...options.acceptance},
  };
}
