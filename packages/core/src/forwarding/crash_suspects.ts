import type {PromptPart} from './exchange_types.js';

/** A run of a server that crashed with requests whose answer had not begun. */
export interface ServerCrash {
  /** Identifies the run of the server. */
  readonly serverRun: string;
  /** Parts of these requests that other requests may share. */
  readonly partIds: readonly string[];
  /** Time from the send of the requests to the crash. */
  readonly waitedMs: number;
}

/** A prompt part that is not sent to servers for a while. */
export interface QuarantinedPart {
  readonly partId: string;
  /**
   * Parts that were with it in each crash and are not cleared. A request without
   * one of them is sent, as that one may be the cause.
   */
  readonly companionIds: readonly string[];
  /** Time until its requests are sent again. */
  readonly remainingMs: number;
}

interface PartRecord {
  /** Times of the crashes since the last answer, by run of a server. */
  readonly crashMsByRun: Map<string, number>;
  /** Other parts that were in all requests with this one that crashed. */
  companionIds: readonly string[] | undefined;
  /** Crashes with different causes. */
  crashCount: number;
  lastCrashMs: number;
  quarantineCount: number;
  quarantinedUntilMs: number;
}

/** Crashes without an answer in between after which a part is quarantined. */
const CRASHES_BEFORE_QUARANTINE = {unanswered: 3, answered: 6} as const;
/**
 * First quarantine of a part; each further one takes twice as long. Shorter for
 * parts that servers have answered on before.
 */
const QUARANTINE_MS = {unanswered: 60_000, answered: 10_000} as const;
const MAX_QUARANTINE_MS = 3_600_000;
/**
 * Crashes within this time have one cause, such as a failing failure domain,
 * unless a request was sent to the second server behind the first crash.
 */
const SAME_CAUSE_MS = 250;
/** Time within which all hosts report the crash of one server. */
const REPORT_MS = 1000;
/** A part is forgotten this long after its last crash or quarantine. */
const CRASH_MEMORY_MS = 120_000;
/** Maximum number of parts that are remembered, suspects and answered ones. */
const MAX_PARTS = 5000;

/**
 * Finds prompt parts that make servers crash as soon as they begin an answer on
 * them. A part becomes a suspect with each crash during which a request with it
 * waited for its answer, and is cleared by an answer that begins. The last part
 * of a prompt belongs to one request and is never a suspect.
 */
export class CrashSuspects {
  /** Least recently crashed parts first. */
  private readonly records = new Map<string, PartRecord>();
  /** Parts that servers have answered on, least recently used first. */
  private readonly answeredIds = new Set<string>();

  private constructor() {}

  /**
   * @example
   * ```ts
   * const suspects = CrashSuspects.create();
   * suspects.recordCrash({serverRun: 'i-1', partIds: ['a'], waitedMs: 40}, nowMs);
   * suspects.findQuarantined(parts, nowMs); // undefined after one crash
   * ```
   */
  static create(): CrashSuspects {
    return new CrashSuspects();
  }

  /** Number of parts with a crash since their last answer. */
  get size(): number {
    return this.records.size;
  }

  /**
   * Records a crash, seen by this host or another one.
   *
   * @returns the parts that are quarantined from now on.
   */
  recordCrash(
    {serverRun, partIds, waitedMs}: ServerCrash,
    nowMs: number,
  ): readonly QuarantinedPart[] {
    this.forgetOldRecords(nowMs);
    return partIds.flatMap(partId => {
      const record = this.touchRecord(partId);
      record.companionIds = (record.companionIds ?? partIds).filter(
        id => id !== partId && partIds.includes(id),
      );
      const reportedMs = record.crashMsByRun.get(serverRun) ?? -Infinity;
      if (nowMs - reportedMs < REPORT_MS) return [];
      record.crashMsByRun.set(serverRun, nowMs);
      const sinceLastMs = nowMs - record.lastCrashMs;
      if (sinceLastMs < SAME_CAUSE_MS && waitedMs >= sinceLastMs) return [];
      record.crashCount += 1;
      record.lastCrashMs = nowMs;
      return this.quarantineIfDue(partId, record, nowMs);
    });
  }

  /**
   * Records that an answer has begun on parts, which clears them.
   *
   * @returns the ids of those that were suspects.
   */
  recordAnswer(partIds: readonly string[]): readonly string[] {
    for (const partId of partIds) this.rememberAnswered(partId);
    return partIds.filter(partId => this.records.delete(partId));
  }

  /** Takes over a quarantine that another host has decided on. */
  adopt(part: QuarantinedPart, nowMs: number): boolean {
    const {partId, companionIds, remainingMs} = part;
    if (this.findQuarantine(partId, nowMs) !== undefined) return false;
    const record = this.touchRecord(partId);
    record.companionIds ??= companionIds;
    record.lastCrashMs = nowMs;
    record.crashCount = CRASHES_BEFORE_QUARANTINE.answered;
    record.quarantineCount += 1;
    const durationMs = Math.min(MAX_QUARANTINE_MS, remainingMs);
    record.quarantinedUntilMs = nowMs + durationMs;
    return true;
  }

  /** Finds a part because of which a request must not be sent to a server. */
  findQuarantined(
    parts: readonly PromptPart[],
    nowMs: number,
  ): QuarantinedPart | undefined {
    if (this.records.size === 0) return undefined;
    const partIds = listSharedPartIds(parts);
    return partIds
      .map(partId => this.findQuarantine(partId, nowMs))
      .find(part => part?.companionIds.every(id => partIds.includes(id)));
  }

  /** Lists the parts that are quarantined. */
  listQuarantined(nowMs: number): readonly QuarantinedPart[] {
    return [...this.records.keys()].flatMap(
      partId => this.findQuarantine(partId, nowMs) ?? [],
    );
  }

  private quarantineIfDue(
    partId: string,
    record: PartRecord,
    nowMs: number,
  ): readonly QuarantinedPart[] {
    const history = this.answeredIds.has(partId) ? 'answered' : 'unanswered';
    if (record.crashCount < CRASHES_BEFORE_QUARANTINE[history]) return [];
    if (nowMs < record.quarantinedUntilMs) return [];
    const durationMs = QUARANTINE_MS[history] * 2 ** record.quarantineCount;
    record.quarantineCount += 1;
    record.quarantinedUntilMs = nowMs + Math.min(MAX_QUARANTINE_MS, durationMs);
    return [this.findQuarantine(partId, nowMs) ?? []].flat();
  }

  private findQuarantine(
    partId: string,
    nowMs: number,
  ): QuarantinedPart | undefined {
    const record = this.records.get(partId);
    if (record === undefined || record.quarantinedUntilMs <= nowMs) {
      return undefined;
    }
    const {companionIds = [], quarantinedUntilMs} = record;
    return {
      partId,
      companionIds: companionIds.filter(id => this.records.has(id)),
      remainingMs: quarantinedUntilMs - nowMs,
    };
  }

  private touchRecord(partId: string): PartRecord {
    const record = this.records.get(partId) ?? {
      crashMsByRun: new Map(),
      companionIds: undefined,
      crashCount: 0,
      lastCrashMs: -Infinity,
      quarantineCount: 0,
      quarantinedUntilMs: -Infinity,
    };
    this.records.delete(partId);
    this.records.set(partId, record);
    return record;
  }

  private rememberAnswered(partId: string): void {
    this.answeredIds.delete(partId);
    this.answeredIds.add(partId);
    if (this.answeredIds.size <= MAX_PARTS) return;
    const [oldest] = this.answeredIds;
    this.answeredIds.delete(oldest);
  }

  private forgetOldRecords(nowMs: number): void {
    for (const [partId, record] of this.records) {
      const {lastCrashMs, quarantinedUntilMs} = record;
      const lastMs = Math.max(lastCrashMs, quarantinedUntilMs);
      const isOld = nowMs - lastMs > CRASH_MEMORY_MS;
      if (!isOld && this.records.size < MAX_PARTS) return;
      this.records.delete(partId);
    }
  }
}

/** Lists the ids of the parts of a prompt that other requests may share. */
export function listSharedPartIds(
  parts: readonly PromptPart[],
): readonly string[] {
  return parts.slice(0, -1).map(({id}) => id);
}
