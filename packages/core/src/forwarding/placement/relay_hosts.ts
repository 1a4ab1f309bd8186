import type {Random} from '../../utils/random.js';

/** Another host that may relay requests. */
export interface RelayCandidate {
  readonly address: string;
  /** Undefined in entries of earlier builds. */
  readonly failureDomain?: string;
}

/** What the choice of a host for a request depends on. */
export interface RelayDemand {
  /** Name of the service, or of a version of it, that is needed. */
  readonly service: string;
  /** Failure domain of the host that asks. */
  readonly failureDomain: string;
  /** Addresses of the hosts that have been asked for this request. */
  readonly asked: ReadonlySet<string>;
  readonly nowMs: number;
}

/**
 * The host to ask next. `unreached`: each host that is left has said that it does
 * not reach the service; `none`: no host is left.
 */
export type RelayChoice =
  | {readonly kind: 'ask'; readonly address: string}
  | {readonly kind: 'unreached'}
  | {readonly kind: 'none'};

/** Time for which a host that could not be reached is left out. */
const LEFT_OUT_MS = 2000;
/** Smallest share of the hosts that takes all requests of the other ones. */
const MIN_ELSEWHERE_SHARE = 1 / 3;
/** Time between two requests that ask a host in spite of what it has said. */
const TRIAL_PERIOD_MS = 500;

/** Ends of times by service and host. */
class HostTimes {
  private readonly endMsByService = new Map<string, Map<string, number>>();

  private constructor() {}

  static create(): HostTimes {
    return new HostTimes();
  }

  set(service: string, address: string, endMs: number): void {
    const known = this.endMsByService.get(service);
    if (known !== undefined) known.set(address, endMs);
    else this.endMsByService.set(service, new Map([[address, endMs]]));
  }

  delete(service: string, address: string): void {
    this.endMsByService.get(service)?.delete(address);
  }

  /** True until the time of the host has ended. */
  has(service: string, address: string, nowMs: number): boolean {
    const endMs = this.endMsByService.get(service)?.get(address);
    return endMs !== undefined && nowMs < endMs;
  }

  forgetExpired(nowMs: number): void {
    for (const [service, endMsByAddress] of this.endMsByService) {
      deleteExpired(endMsByAddress, nowMs);
      if (endMsByAddress.size === 0) this.endMsByService.delete(service);
    }
  }
}

/**
 * Knows which of the other hosts can relay requests for a service: what each of
 * them has said of its own links lately, and which could not be reached. What one
 * host says concerns that host alone.
 */
export class RelayHosts {
  /** Ends of the times for which hosts count as ones that do not reach a service. */
  private readonly unreached = HostTimes.create();
  /** Ends of the times for which hosts count as ones that send its requests. */
  private readonly sending = HostTimes.create();
  private readonly leftOutUntilMs = new Map<string, number>();
  private readonly nextTrialMs = new Map<string, number>();

  private constructor(private readonly random: Random) {}

  /**
   * @example
   * ```ts
   * const relays = RelayHosts.create(Math.random);
   * relays.recordUnreached('app', '10.0.0.2:7000', nowMs + 2500);
   * relays.choose(candidates, {service: 'app', ...demand});
   * ```
   */
  static create(random: Random): RelayHosts {
    return new RelayHosts(random);
  }

  /** Records that a host has said that it does not reach a service. */
  recordUnreached(service: string, address: string, untilMs: number): void {
    this.unreached.set(service, address, untilMs);
    this.sending.delete(service, address);
  }

  /** Records that a host reaches a service. */
  recordReached(service: string, address: string): void {
    this.unreached.delete(service, address);
  }

  /** Records that a host has sent a request for a service. */
  recordSent(service: string, address: string, untilMs: number): void {
    this.recordReached(service, address);
    this.sending.set(service, address, untilMs);
  }

  /** Leaves out a host for a while that could not be reached, or is stopping. */
  leaveOut(address: string, nowMs: number): void {
    this.leftOutUntilMs.set(address, nowMs + LEFT_OUT_MS);
  }

  /**
   * Chooses a host at random among those that may reach the service, in another
   * failure domain unless few of them are. A request that a host has refused goes
   * to one that has sent others lately. If none is left, one request in a while
   * asks any host, as what hosts say on their return may be lost.
   */
  choose(
    candidates: readonly RelayCandidate[],
    {service, failureDomain, asked, nowMs}: RelayDemand,
  ): RelayChoice {
    const usable = candidates.filter(
      ({address}) =>
        !asked.has(address) &&
        nowMs >= (this.leftOutUntilMs.get(address) ?? -Infinity),
    );
    const open = usable.filter(
      ({address}) => !this.unreached.has(service, address, nowMs),
    );
    const proven = open.filter(
      ({address}) =>
        asked.size > 0 && this.sending.has(service, address, nowMs),
    );
    if (proven.length > 0) return this.ask(proven, failureDomain);
    if (open.length > 0) return this.ask(open, failureDomain);
    if (usable.length === 0) return {kind: 'none'};
    const trialMs = this.nextTrialMs.get(service) ?? -Infinity;
    if (asked.size > 0 || nowMs < trialMs) return {kind: 'unreached'};
    this.nextTrialMs.set(service, nowMs + TRIAL_PERIOD_MS);
    return this.ask(usable, failureDomain);
  }

  /** Forgets what is no longer in force. */
  forgetExpired(nowMs: number): void {
    deleteExpired(this.leftOutUntilMs, nowMs);
    deleteExpired(this.nextTrialMs, nowMs);
    this.unreached.forgetExpired(nowMs);
    this.sending.forgetExpired(nowMs);
  }

  private ask(
    candidates: readonly RelayCandidate[],
    failureDomain: string,
  ): RelayChoice {
    const elsewhere = candidates.filter(
      candidate => candidate.failureDomain !== failureDomain,
    );
    const isEnough =
      elsewhere.length >= MIN_ELSEWHERE_SHARE * candidates.length;
    const preferred = isEnough ? elsewhere : candidates;
    const index = Math.floor(this.random() * preferred.length);
    return {kind: 'ask', address: preferred[index].address};
  }
}

function deleteExpired(endMsByKey: Map<string, number>, nowMs: number): void {
  for (const [key, endMs] of endMsByKey) {
    if (nowMs >= endMs) endMsByKey.delete(key);
  }
}
