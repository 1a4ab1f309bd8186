import {
  CrashSuspects,
  isTrialHost,
  rankHost,
  readRequestDigest,
  type Quarantine,
  type Random,
  type RegisteredServer,
  type ServerCrash,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import {
  MAX_ANNOUNCED_CRASHES,
  MAX_ANNOUNCED_SUSPECTS,
  type CrashAnnouncement,
} from './crash_announcement.js';
import type {AnnouncementReach} from '../hosts/announcement_reach.js';

/** Dependencies of {@link CrashGuard}. */
export interface CrashGuardOptions {
  /** Address of this host, by which the others know it. */
  readonly address: string;
  readonly listOtherAddresses: () => readonly string[];
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  /** Sends an announcement to the other hosts. */
  readonly announce: (
    announcement: CrashAnnouncement,
    reach: AnnouncementReach,
  ) => void;
}

/** A request that is about to be sent to servers. */
export interface GuardedRequest {
  /** See {@link listSuspectIds}. */
  readonly suspectIds: readonly string[];
  /** Called when it may no longer be sent, nor run on. */
  readonly onQuarantined: (quarantine: Quarantine) => void;
}

/** Whether a request may be sent. */
export interface SendPermission {
  /** Present if it must not be sent. */
  readonly refusal: Quarantine | undefined;
  /** The request may be sent to one server, to see whether it crashes. */
  readonly isTrial: boolean;
  /** To be called when the request has ended. */
  readonly end: () => void;
}

/** A request that a server has cut. */
export interface CutRequest {
  readonly suspectIds: readonly string[];
  /** Time of the send, on the monotonic clock. */
  readonly sentMs: number;
  /** True if its answer had begun. */
  readonly hasBegun: boolean;
}

/** Time between two announcements of the quarantines. */
const REPEAT_MS = 2000;
/** Crashes are collected for this time and announced together. */
const COLLECT_MS = 20;
/**
 * Servers that end together have a cause of their own, such as a lost failure
 * domain, or this host has lost its links to them.
 */
const MAX_SERVERS_AT_ONCE = 2;
/** Hosts that answer the report of a quarantined request; one may have restarted. */
const ANSWERING_HOST_COUNT = 2;
/** Hosts, on average, that confirm a suspect which all have seen answered. */
const CONFIRMING_HOST_COUNT = 8;
/** Retry delay for a request whose trial is made elsewhere or under way. */
const TRIAL_RETRY_MS = 1000;

/**
 * Keeps requests away from the servers that they make crash. The hosts tell each
 * other of crashes, of the requests and prompt parts that they quarantine, and of
 * those that an answer has cleared.
 */
export class CrashGuard {
  private readonly suspects = CrashSuspects.create();
  private readonly guarded = new Set<GuardedRequest>();
  /** Suspects of which a request is being tried on this host. */
  private readonly triedIds = new Set<string>();
  private collectedCrashes: ServerCrash[] = [];
  private nextRepeatMs = -Infinity;

  private constructor(private readonly options: CrashGuardOptions) {}

  /**
   * @example
   * ```ts
   * const guard = CrashGuard.create(options);
   * const {refusal, end} = guard.open({suspectIds, onQuarantined});
   * ```
   */
  static create(options: CrashGuardOptions): CrashGuard {
    return new CrashGuard(options);
  }

  /** Decides whether a request may be sent, and watches it until its end. */
  open(request: GuardedRequest): SendPermission {
    const refusal = this.findQuarantined(request.suspectIds);
    if (refusal !== undefined) return refuse(refusal);
    const nowMs = performance.now();
    const trialId = this.suspects.findOnTrial(request.suspectIds, nowMs);
    if (trialId !== undefined && !this.canTry(trialId)) {
      return refuse({
        suspectId: trialId,
        companionIds: [],
        remainingMs: TRIAL_RETRY_MS,
      });
    }
    if (trialId !== undefined) this.triedIds.add(trialId);
    this.guarded.add(request);
    const end = (): void => {
      this.guarded.delete(request);
      if (trialId !== undefined) this.triedIds.delete(trialId);
    };
    return {refusal: undefined, isTrial: trialId !== undefined, end};
  }

  /** Finds a quarantine because of which a request must not be sent again. */
  findQuarantined(suspectIds: readonly string[]): Quarantine | undefined {
    return this.suspects.findQuarantined(suspectIds, performance.now());
  }

  /** Records that a server cut a request that it may have begun to run. */
  recordCrash(
    {id, startedAtMs}: RegisteredServer,
    {suspectIds, sentMs, hasBegun}: CutRequest,
  ): void {
    if (suspectIds.length === 0) return;
    this.options.metrics.count('crashed_requests_total');
    const serverRun = startedAtMs === undefined ? id : `${id}@${startedAtMs}`;
    const waitedMs = performance.now() - sentMs;
    const crash = {serverRun, suspectIds, waitedMs, hasBegun};
    if (this.collectedCrashes.length === 0)
      setTimeout(() => this.announceCrashes(), COLLECT_MS);
    this.collectedCrashes.push(crash);
    this.announceSound('knownSound', this.suspects.listKnownSound(suspectIds));
    this.takeCrash(crash);
  }

  /** Records that a server has answered a request, or has begun to. */
  recordAnswer(suspectIds: readonly string[]): void {
    this.announceSound('cleared', this.suspects.recordAnswer(suspectIds));
  }

  /** Takes over what another host has announced. */
  receive(announcement: CrashAnnouncement): void {
    switch (announcement.kind) {
      case 'crash':
        for (const crash of announcement.crashes) {
          this.answerCrash(crash);
          this.confirmKnownSound(crash);
          this.takeCrash(crash);
        }
        return;
      case 'quarantine':
        for (const quarantine of announcement.quarantines)
          this.adopt(quarantine);
        return;
      case 'cleared':
        this.suspects.recordAnswer(announcement.suspectIds);
        return;
      case 'knownSound':
        this.suspects.recordKnownSound(announcement.suspectIds);
    }
  }

  /** Repeats the quarantines for hosts that have started since. */
  tick(): void {
    const nowMs = performance.now();
    if (nowMs < this.nextRepeatMs) return;
    this.nextRepeatMs = nowMs + REPEAT_MS;
    this.announceQuarantines(this.suspects.listQuarantined(nowMs), 'fewHosts');
  }

  private canTry(suspectId: string): boolean {
    const {address, listOtherAddresses} = this.options;
    const otherAddresses = listOtherAddresses();
    return (
      !this.triedIds.has(suspectId) &&
      isTrialHost({suspectId, address, otherAddresses})
    );
  }

  private announceCrashes(): void {
    const crashes = this.collectedCrashes;
    this.collectedCrashes = [];
    const serverRuns = new Set(crashes.map(({serverRun}) => serverRun));
    if (serverRuns.size > MAX_SERVERS_AT_ONCE) {
      this.options.metrics.count('crash_reports_withheld_total');
      return;
    }
    while (crashes.length > 0) {
      const announced = crashes.splice(0, MAX_ANNOUNCED_CRASHES);
      this.options.announce({kind: 'crash', crashes: announced}, 'allHosts');
    }
  }

  /** Tells a host that has sent a quarantined request, as it has just started. */
  private answerCrash({suspectIds}: ServerCrash): void {
    const quarantine = this.findQuarantined(suspectIds);
    if (quarantine === undefined) return;
    const {address, listOtherAddresses} = this.options;
    const rank = rankHost(quarantine.suspectId, address, listOtherAddresses());
    if (rank < ANSWERING_HOST_COUNT)
      this.announceQuarantines([quarantine], 'allHosts');
  }

  private confirmKnownSound({suspectIds}: ServerCrash): void {
    const {random, listOtherAddresses} = this.options;
    const hostCount = listOtherAddresses().length + 1;
    if (random() * hostCount >= CONFIRMING_HOST_COUNT) return;
    this.announceSound('knownSound', this.suspects.listKnownSound(suspectIds));
  }

  private announceSound(
    kind: 'cleared' | 'knownSound',
    suspectIds: readonly string[],
  ): void {
    if (suspectIds.length === 0) return;
    this.options.announce({kind, suspectIds}, 'allHosts');
  }

  private takeCrash(crash: ServerCrash): void {
    const quarantines = this.suspects.recordCrash(crash, performance.now());
    this.announceQuarantines(quarantines, 'allHosts');
    for (const quarantine of quarantines) this.start(quarantine);
  }

  private adopt(quarantine: Quarantine): void {
    const isNew = this.suspects.adopt(quarantine, performance.now());
    if (isNew) this.start(quarantine);
  }

  private start(quarantine: Quarantine): void {
    this.reportQuarantine(quarantine);
    for (const {suspectIds, onQuarantined} of this.guarded) {
      if (suspectIds.includes(quarantine.suspectId)) onQuarantined(quarantine);
    }
  }

  private reportQuarantine({suspectId, remainingMs}: Quarantine): void {
    const {logger, metrics} = this.options;
    const requestDigest = readRequestDigest(suspectId);
    if (requestDigest !== undefined) {
      metrics.count('request_quarantines_total');
      logger.warn('request_quarantined', {requestDigest, remainingMs});
      return;
    }
    metrics.count('quarantined_parts_total');
    logger.warn('part_quarantined', {part: suspectId, remainingMs});
  }

  private announceQuarantines(
    quarantines: readonly Quarantine[],
    reach: AnnouncementReach,
  ): void {
    if (quarantines.length === 0) return;
    const announced = quarantines.slice(-MAX_ANNOUNCED_SUSPECTS);
    this.options.announce({kind: 'quarantine', quarantines: announced}, reach);
  }
}

function refuse(refusal: Quarantine): SendPermission {
  return {refusal, isTrial: false, end: () => undefined};
}
