import {
  CrashSuspects,
  listSharedPartIds,
  type GenerationDemand,
  type QuarantinedPart,
  type RegisteredServer,
  type ServerCrash,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import {
  MAX_ANNOUNCED_PARTS,
  type CrashAnnouncement,
} from './crash_announcement.js';

/** Dependencies of {@link CrashGuard}. */
export interface CrashGuardOptions {
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  /** Sends an announcement to the other hosts. */
  readonly announce: (announcement: CrashAnnouncement) => void;
}

/** A request whose answer has not begun. */
export interface WaitingRequest {
  readonly generation: GenerationDemand;
  /** Called when a part of its prompt is quarantined. */
  readonly onQuarantined: (part: QuarantinedPart) => void;
}

/** Time between two announcements of the quarantined parts. */
const REPEAT_MS = 2000;

/**
 * Keeps requests away from the servers whose prompt has a part that makes them
 * crash. The hosts tell each other of crashes, of the parts that they quarantine
 * and of those that an answer has cleared.
 */
export class CrashGuard {
  private readonly suspects = CrashSuspects.create();
  private readonly waiting = new Set<WaitingRequest>();
  private nextRepeatMs = -Infinity;

  private constructor(private readonly options: CrashGuardOptions) {}

  /**
   * @example
   * ```ts
   * const guard = CrashGuard.create({logger, metrics, announce});
   * guard.findQuarantined(generation); // undefined: it may be sent
   * ```
   */
  static create(options: CrashGuardOptions): CrashGuard {
    return new CrashGuard(options);
  }

  /** Finds a part because of which a request must not be sent to a server. */
  findQuarantined(
    generation: GenerationDemand | undefined,
  ): QuarantinedPart | undefined {
    if (generation === undefined) return undefined;
    return this.suspects.findQuarantined(generation.parts, performance.now());
  }

  /** Watches a request until the returned function is called. */
  watch(request: WaitingRequest): () => void {
    this.waiting.add(request);
    return () => this.waiting.delete(request);
  }

  /** Records that a server cut a request whose answer had not begun. */
  recordCrash(
    server: RegisteredServer,
    generation: GenerationDemand,
    sentMs: number,
  ): void {
    const partIds = listSharedPartIds(generation.parts);
    if (partIds.length === 0) return;
    this.options.metrics.count('crashed_requests_total');
    const {id, startedAtMs} = server;
    const serverRun = startedAtMs === undefined ? id : `${id}@${startedAtMs}`;
    const waitedMs = performance.now() - sentMs;
    const crash = {serverRun, partIds, waitedMs};
    this.options.announce({kind: 'crash', crash});
    this.takeCrash(crash);
  }

  /** Records that a server has begun to answer a request. */
  recordAnswer(generation: GenerationDemand): void {
    const partIds = listSharedPartIds(generation.parts);
    const clearedIds = this.suspects.recordAnswer(partIds);
    if (clearedIds.length === 0) return;
    this.options.announce({kind: 'cleared', partIds: clearedIds});
  }

  /** Takes over what another host has announced. */
  receive(announcement: CrashAnnouncement): void {
    switch (announcement.kind) {
      case 'crash':
        this.takeCrash(announcement.crash);
        return;
      case 'quarantine':
        for (const part of announcement.parts) this.adopt(part);
        return;
      case 'cleared':
        this.suspects.recordAnswer(announcement.partIds);
    }
  }

  /** Repeats the quarantined parts for hosts that have started since. */
  tick(): void {
    const nowMs = performance.now();
    if (nowMs < this.nextRepeatMs) return;
    this.nextRepeatMs = nowMs + REPEAT_MS;
    this.announceQuarantine(this.suspects.listQuarantined(nowMs));
  }

  private takeCrash(crash: ServerCrash): void {
    const quarantined = this.suspects.recordCrash(crash, performance.now());
    this.announceQuarantine(quarantined);
    for (const part of quarantined) this.start(part);
  }

  private adopt(part: QuarantinedPart): void {
    if (this.suspects.adopt(part, performance.now())) this.start(part);
  }

  private start(part: QuarantinedPart): void {
    const {partId, remainingMs} = part;
    this.options.metrics.count('quarantined_parts_total');
    this.options.logger.warn('part_quarantined', {part: partId, remainingMs});
    for (const {generation, onQuarantined} of this.waiting) {
      if (listSharedPartIds(generation.parts).includes(partId))
        onQuarantined(part);
    }
  }

  private announceQuarantine(parts: readonly QuarantinedPart[]): void {
    if (parts.length === 0) return;
    const announced = parts.slice(-MAX_ANNOUNCED_PARTS);
    this.options.announce({kind: 'quarantine', parts: announced});
  }
}
