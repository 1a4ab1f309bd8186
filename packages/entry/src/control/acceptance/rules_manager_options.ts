import {
  ACCEPTANCE_DEFAULTS,
  type AcceptanceOptions,
  type Finding,
  type Member,
  type ObjectStore,
  type RuleSet,
} from '@anvilrudder/core';
import type {PeerTlsProvider} from '@anvilrudder/peers';

/** Result of parsing a rule file; `rules` is undefined if it has errors. */
export interface ParsedRules {
  readonly rules: RuleSet | undefined;
  readonly findings: readonly Finding[];
}

/** An event of a rules manager, for the log and the audit trail. */
export interface RulesEvent {
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

/** Options of a rules manager. */
export interface RulesManagerOptions {
  /** This entry as a member; peers must be able to reach `peerAddress`. */
  readonly self: Member;
  readonly store: ObjectStore;
  readonly parse: (text: string) => ParsedRules;
  /** Rule file that becomes revision 1 when the store has no head yet. */
  readonly initialRules?: string;
  /**
   * Lists peer addresses to ask while no head is known, such as those in the
   * settings or in the host list.
   */
  readonly listSeedAddresses?: () => readonly string[];
  /**
   * Lists hosts of members that are no longer in the host list. Such a member
   * is removed after `freshnessMs` of silence instead of `lostAfterMs`.
   */
  readonly listUnlistedHosts?: () => readonly string[];
  /** Certificates for calls to peers; plain HTTP without them. */
  readonly tls?: PeerTlsProvider | undefined;
  /** Local address from which connections to peers are made. */
  readonly localAddress?: string;
  readonly acceptance?: Partial<AcceptanceOptions>;
  /** Period of exchanges with peers, in milliseconds. Default: 1000. */
  readonly exchangePeriodMs?: number;
  /** Number of peers asked in each period. Default: 3. */
  readonly fanout?: number;
  /** Period of reading the head from the store to confirm it. Default: 1000. */
  readonly confirmPeriodMs?: number;
  /**
   * Number of members that watch the head at the store and confirm it in each
   * period. Default: 3.
   */
  readonly watcherCount?: number;
  /** Maximum duration of a watch call. Default: 20000. */
  readonly watchTimeoutMs?: number;
  /** Timeout of a call to a peer. Default: 1000. */
  readonly peerTimeoutMs?: number;
  /**
   * Timeout of a call to the store. A watch call may take this much longer than
   * `watchTimeoutMs`. Default: 2000.
   */
  readonly storeTimeoutMs?: number;
  /** How long an answer to a peer waits for rule files. Default: 500. */
  readonly loadWaitMs?: number;
  /** Maximum delay between retries of a failing call. Default: 8000. */
  readonly maxBackoffMs?: number;
  /** How long `apply` waits before it returns `undecided`. Default: 30000. */
  readonly applyTimeoutMs?: number;
  /** How long `stop` tries to leave the members. Default: 2000. */
  readonly leaveTimeoutMs?: number;
  /** Random numbers in [0, 1). Default: `Math.random`. */
  readonly random?: () => number;
  readonly onEvent?: (event: RulesEvent) => void;
}

/** The options of a rules manager with the defaults filled in. */
export interface ResolvedRulesManagerOptions extends Required<
  Omit<
    RulesManagerOptions,
    'tls' | 'localAddress' | 'initialRules' | 'acceptance'
  >
> {
  readonly acceptance: AcceptanceOptions;
  readonly initialRules: string | undefined;
  readonly tls: PeerTlsProvider | undefined;
  readonly localAddress: string | undefined;
}

/**
 * Fills in the defaults of the options of a rules manager.
 *
 * @example
 * ```ts
 * resolveRulesManagerOptions({self, store, parse}).fanout; // 3
 * ```
 */
export function resolveRulesManagerOptions(
  options: RulesManagerOptions,
): ResolvedRulesManagerOptions {
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
