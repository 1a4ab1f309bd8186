import {RecentIds} from '../../utils/recent_ids.js';
import {
  CRASHES_BEFORE_QUARANTINE,
  MAX_QUARANTINE_MS,
  QUARANTINE_GROWTH,
  QUARANTINE_MS,
  type AnswerHistory,
} from './quarantine_policy.js';
import {getSuspectKind, isRequestId} from './suspect_ids.js';

/** A run of a server that crashed with a request in flight. */
export interface ServerCrash {
  /** Identifies the run of the server. */
  readonly serverRun: string;
  /** What may have caused the crash, see {@link listSuspectIds}. */
  readonly suspectIds: readonly string[];
  /** Time from the send of the request to the crash. */
  readonly waitedMs: number;
  /** True if the server had begun to answer the request. */
  readonly hasBegun: boolean;
}

/** A request or prompt part that is not sent to servers for a while. */
export interface Quarantine {
  readonly suspectId: string;
  /**
   * Suspects that were with it in each crash and are not cleared. A request
   * without one of them is sent, as that one may be the cause.
   */
  readonly companionIds: readonly string[];
  /** Time until its requests are sent again. */
  readonly remainingMs: number;
}

interface SuspectRecord {
  /** Times of the crashes since the last answer, by run of a server. */
  readonly crashMsByRun: Map<string, number>;
  /** Other suspects that were in all requests with this one that crashed. */
  companionIds: readonly string[] | undefined;
  /** Crashes with different causes. */
  crashCount: number;
  /** True if a server had begun to answer before it crashed. */
  hasBegun: boolean;
  lastCrashMs: number;
  quarantineCount: number;
  quarantinedUntilMs: number;
}

/**
 * Crashes within this time have one cause, such as a failing failure domain,
 * unless a request was sent to the second server behind the first crash.
 */
const SAME_CAUSE_MS = 250;
/** Time within which all hosts report the crash of one server. */
const REPORT_MS = 1000;
/** A suspect is forgotten this long after its last crash or quarantine. */
const CRASH_MEMORY_MS = 120_000;
/** Maximum number of suspects, and of answered ones of each kind. */
const MAX_SUSPECTS = 5000;

/**
 * Finds requests and prompt parts that make servers crash. They become suspects
 * with each crash during which a server ran them, and are cleared by an answer: a
 * part by one that begins, a request by a whole one. The last part of a prompt
 * belongs to one request and is a suspect only as that request.
 */
export class CrashSuspects {
  /** Least recently crashed suspects first. */
  private readonly records = new Map<string, SuspectRecord>();
  private readonly answeredPartIds = RecentIds.create(MAX_SUSPECTS);
  private readonly answeredRequestIds = RecentIds.create(MAX_SUSPECTS);

  private constructor() {}

  /**
   * @example
   * ```ts
   * const suspects = CrashSuspects.create();
   * const suspectIds = listSuspectIds(digest, parts);
   * suspects.recordCrash(
   *   {serverRun: 'i-1', suspectIds, waitedMs: 40, hasBegun: false},
   *   nowMs,
   * );
   * suspects.findQuarantined(suspectIds, nowMs); // undefined after one crash
   * ```
   */
  static create(): CrashSuspects {
    return new CrashSuspects();
  }

  /** Number of suspects with a crash since their last answer. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Records a crash, seen by this host or another one.
   *
   * @returns the suspects that are quarantined from now on.
   */
  recordCrash(crash: ServerCrash, nowMs: number): readonly Quarantine[] {
    const {serverRun, suspectIds, waitedMs} = crash;
    this.forgetOldRecords(nowMs);
    return suspectIds.flatMap(suspectId => {
      const record = this.touchRecord(suspectId);
      record.companionIds = (record.companionIds ?? suspectIds).filter(
        id => id !== suspectId && suspectIds.includes(id),
      );
      const reportedMs = record.crashMsByRun.get(serverRun) ?? -Infinity;
      if (nowMs - reportedMs < REPORT_MS) return [];
      record.crashMsByRun.set(serverRun, nowMs);
      const sinceLastMs = nowMs - record.lastCrashMs;
      if (sinceLastMs < SAME_CAUSE_MS && waitedMs >= sinceLastMs) return [];
      record.crashCount += 1;
      record.hasBegun ||= crash.hasBegun;
      record.lastCrashMs = nowMs;
      return this.quarantineIfDue(suspectId, record, nowMs);
    });
  }

  /**
   * Records an answer on suspects, which clears them.
   *
   * @returns the ids of those that had crashed a server.
   */
  recordAnswer(suspectIds: readonly string[]): readonly string[] {
    for (const id of suspectIds) this.getAnsweredIds(id).add(id);
    return suspectIds.filter(id => this.records.delete(id));
  }

  /**
   * Lists the suspects that servers have answered before and on which too few
   * have crashed since to doubt it.
   */
  listKnownSound(suspectIds: readonly string[]): readonly string[] {
    return suspectIds.filter(id => {
      const crashCount = this.records.get(id)?.crashCount ?? 0;
      const {answered} = CRASHES_BEFORE_QUARANTINE[getSuspectKind(id)];
      return this.getAnsweredIds(id).has(id) && crashCount < answered;
    });
  }

  /**
   * Records that servers have answered suspects for another host before. Their
   * crashes still count, but it takes more of them to quarantine the suspects.
   */
  recordKnownSound(suspectIds: readonly string[]): void {
    for (const id of suspectIds) {
      this.getAnsweredIds(id).add(id);
      const record = this.records.get(id);
      if (record === undefined) continue;
      const {answered} = CRASHES_BEFORE_QUARANTINE[getSuspectKind(id)];
      if (record.crashCount >= answered) continue;
      record.quarantinedUntilMs = -Infinity;
      record.quarantineCount = 0;
    }
  }

  /** Takes over a quarantine that another host has decided on. */
  adopt(quarantine: Quarantine, nowMs: number): boolean {
    const {suspectId, companionIds, remainingMs} = quarantine;
    if (this.findQuarantine(suspectId, nowMs) !== undefined) return false;
    const record = this.touchRecord(suspectId);
    record.companionIds ??= companionIds;
    record.lastCrashMs = nowMs;
    const history = this.readHistory(suspectId, record);
    record.crashCount =
      CRASHES_BEFORE_QUARANTINE[getSuspectKind(suspectId)][history];
    record.quarantineCount += 1;
    const durationMs = Math.min(MAX_QUARANTINE_MS, remainingMs);
    record.quarantinedUntilMs = nowMs + durationMs;
    return true;
  }

  /** Finds a suspect because of which a request must not be sent. */
  findQuarantined(
    suspectIds: readonly string[],
    nowMs: number,
  ): Quarantine | undefined {
    if (this.records.size === 0) return undefined;
    return suspectIds
      .map(id => this.findQuarantine(id, nowMs))
      .find(found => found?.companionIds.every(id => suspectIds.includes(id)));
  }

  /**
   * Finds a suspect because of which a request may be sent only as a trial: by
   * one host, one request at a time and to one server. That holds for requests
   * that have crashed a server, and behind a quarantine until an answer.
   */
  findOnTrial(
    suspectIds: readonly string[],
    nowMs: number,
  ): string | undefined {
    if (this.records.size === 0) return undefined;
    return suspectIds.find(id => this.isOnTrial(id, suspectIds, nowMs));
  }

  /** Lists the suspects that are quarantined. */
  listQuarantined(nowMs: number): readonly Quarantine[] {
    return [...this.records.keys()].flatMap(
      id => this.findQuarantine(id, nowMs) ?? [],
    );
  }

  private isOnTrial(
    suspectId: string,
    suspectIds: readonly string[],
    nowMs: number,
  ): boolean {
    const record = this.records.get(suspectId);
    if (record === undefined || isForgotten(record, nowMs)) return false;
    const {companionIds = [], quarantineCount} = record;
    const hasBeenQuarantined = quarantineCount > 0;
    if (
      !hasBeenQuarantined &&
      this.readHistory(suspectId, record) === 'answered'
    )
      return false;
    return (
      (hasBeenQuarantined || isRequestId(suspectId)) &&
      companionIds.every(id => !this.records.has(id) || suspectIds.includes(id))
    );
  }

  private quarantineIfDue(
    suspectId: string,
    record: SuspectRecord,
    nowMs: number,
  ): readonly Quarantine[] {
    const history = this.readHistory(suspectId, record);
    const kind = getSuspectKind(suspectId);
    if (record.crashCount < CRASHES_BEFORE_QUARANTINE[kind][history]) return [];
    if (nowMs < record.quarantinedUntilMs) return [];
    const durationMs =
      QUARANTINE_MS[history] *
      QUARANTINE_GROWTH[kind] ** record.quarantineCount;
    record.quarantineCount += 1;
    record.quarantinedUntilMs = nowMs + Math.min(MAX_QUARANTINE_MS, durationMs);
    return [this.findQuarantine(suspectId, nowMs) ?? []].flat();
  }

  private readHistory(
    suspectId: string,
    {hasBegun}: SuspectRecord,
  ): AnswerHistory {
    if (this.getAnsweredIds(suspectId).has(suspectId)) return 'answered';
    return hasBegun ? 'begun' : 'unanswered';
  }

  private findQuarantine(
    suspectId: string,
    nowMs: number,
  ): Quarantine | undefined {
    const record = this.records.get(suspectId);
    if (record === undefined || record.quarantinedUntilMs <= nowMs) {
      return undefined;
    }
    const {companionIds = [], quarantinedUntilMs} = record;
    return {
      suspectId,
      companionIds: companionIds.filter(id => this.records.has(id)),
      remainingMs: quarantinedUntilMs - nowMs,
    };
  }

  private touchRecord(suspectId: string): SuspectRecord {
    const record = this.records.get(suspectId) ?? {
      crashMsByRun: new Map(),
      companionIds: undefined,
      crashCount: 0,
      hasBegun: false,
      lastCrashMs: -Infinity,
      quarantineCount: 0,
      quarantinedUntilMs: -Infinity,
    };
    this.records.delete(suspectId);
    this.records.set(suspectId, record);
    return record;
  }

  private getAnsweredIds(suspectId: string): RecentIds {
    return isRequestId(suspectId)
      ? this.answeredRequestIds
      : this.answeredPartIds;
  }

  private forgetOldRecords(nowMs: number): void {
    for (const [suspectId, record] of this.records) {
      if (!isForgotten(record, nowMs)) break;
      this.records.delete(suspectId);
    }
    while (this.records.size >= MAX_SUSPECTS) this.forgetOne(nowMs);
  }

  /** Forgets the oldest suspect, quarantined ones last. */
  private forgetOne(nowMs: number): void {
    for (const id of this.records.keys()) {
      if (this.findQuarantine(id, nowMs) !== undefined) continue;
      this.records.delete(id);
      return;
    }
    const [oldest] = this.records.keys();
    this.records.delete(oldest);
  }
}

function isForgotten(
  {lastCrashMs, quarantinedUntilMs}: SuspectRecord,
  nowMs: number,
): boolean {
  const lastMs = Math.max(lastCrashMs, quarantinedUntilMs);
  return nowMs - lastMs > CRASH_MEMORY_MS;
}
