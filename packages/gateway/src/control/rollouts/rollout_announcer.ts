import {clamp, type AnswerRow} from '@anvilrudder/core';
import type {AnnouncementReach} from '../hosts/announcement_reach.js';
import type {ActiveRollout} from './active_rollout.js';
import type {RolloutAnnouncement} from './rollout_announcement.js';

export type SendAnnouncement = (
  announcement: RolloutAnnouncement,
  reach: AnnouncementReach,
) => void;

/** Dependencies of {@link RolloutAnnouncer}. */
export interface RolloutAnnouncerOptions {
  /** Number of hosts that control the same rollouts, including this one. */
  readonly countHosts: () => number;
  readonly announce: SendAnnouncement;
}

/** When a host announced a rollout, and what the others know of it. */
interface AnnouncedState {
  readonly nextMs: number;
  /** All rows are repeated then, as messages may be lost or a host restart. */
  readonly nextRepeatMs: number;
  readonly revision: number;
  readonly isVersionBad: boolean;
  readonly step: number;
  /** Own held sessions that were announced to all hosts once. */
  readonly heldOnceCount: number;
  /** Own held sessions that were announced to all hosts twice. */
  readonly heldTwiceCount: number;
  /** When this host learnt that the rollout was rolled back. */
  readonly endedMs: number | undefined;
}

/** What one announcement tells, in as many packets as it needs. */
interface AnnouncedChanges {
  readonly rows: readonly AnswerRow[];
  readonly held: readonly number[];
  readonly reach: AnnouncementReach;
}

const NOT_ANNOUNCED: AnnouncedState = {
  nextMs: -Infinity,
  nextRepeatMs: -Infinity,
  revision: 0,
  isVersionBad: false,
  step: 0,
  heldOnceCount: 0,
  heldTwiceCount: 0,
  endedMs: undefined,
};

/**
 * Time between two announcements, per host, so that many hosts do not send more
 * in sum.
 */
const PERIOD_PER_HOST_MS = 40;
const PERIOD_RANGE_MS = {min: 200, max: 2000} as const;
const REPEAT_MS = 2000;
/** Time for which the end of a rollout is announced, to hosts that lag behind. */
const END_ANNOUNCEMENTS_MS = 60_000;
/** Rows of one announcement, so that it fits into one packet. */
const MAX_ROWS = 12;
/** Held sessions of one announcement, so that it fits into one packet. */
const MAX_HELD_SESSIONS = 40;

/** Announces the answers and findings of a host on its rollouts. */
export class RolloutAnnouncer {
  private readonly states = new WeakMap<ActiveRollout, AnnouncedState>();

  private constructor(private readonly options: RolloutAnnouncerOptions) {}

  static create(options: RolloutAnnouncerOptions): RolloutAnnouncer {
    return new RolloutAnnouncer(options);
  }

  /** Announces a rollout if something has changed or a repetition is due. */
  announceIfDue(rollout: ActiveRollout, nowMs: number): void {
    if (rollout.plan.phase === 'succeeded') return;
    const before = this.states.get(rollout) ?? NOT_ANNOUNCED;
    const endedMs =
      rollout.plan.phase === 'rolledBack'
        ? (before.endedMs ?? nowMs)
        : undefined;
    if (nowMs - (endedMs ?? nowMs) > END_ANNOUNCEMENTS_MS) return;
    const isVersionBad = hasFoundBad(rollout);
    const {step} = rollout.plan;
    const {ownCount} = rollout.heldSessions;
    const hasHeldSessions = ownCount > before.heldTwiceCount;
    const isUrgent =
      isVersionBad !== before.isVersionBad ||
      step !== before.step ||
      hasHeldSessions;
    if (!isUrgent && nowMs < before.nextMs) return;
    const isRepeating = nowMs >= before.nextRepeatMs;
    const {rows, revision} = rollout.evidence.listOwnRows(
      isRepeating ? 0 : before.revision,
    );
    if (!isRepeating && !isUrgent && rows.length === 0) return;
    const held = rollout.heldSessions.listOwn(
      isRepeating ? 0 : before.heldTwiceCount,
    );
    const reach = hasHeldSessions ? 'allHosts' : 'someHosts';
    this.announce(rollout, {rows, held, reach}, nowMs);
    this.states.set(rollout, {
      nextMs: nowMs + this.computePeriodMs(),
      nextRepeatMs: isRepeating ? nowMs + REPEAT_MS : before.nextRepeatMs,
      revision,
      isVersionBad,
      step,
      heldOnceCount: ownCount,
      heldTwiceCount: before.heldOnceCount,
      endedMs,
    });
  }

  private announce(
    rollout: ActiveRollout,
    {rows, held, reach}: AnnouncedChanges,
    nowMs: number,
  ): void {
    const {order, step} = rollout.plan;
    const {service, target, durationMs} = order;
    const elapsedMs = rollout.plan.elapsedMs(nowMs);
    const isVersionBad = hasFoundBad(rollout);
    const head = {service, target, durationMs, elapsedMs, step, isVersionBad};
    const partCount = Math.max(
      1,
      Math.ceil(rows.length / MAX_ROWS),
      Math.ceil(held.length / MAX_HELD_SESSIONS),
    );
    for (let part = 0; part < partCount; part += 1) {
      this.options.announce(
        {
          ...head,
          rows: takePart(rows, part, MAX_ROWS),
          heldSessions: takePart(held, part, MAX_HELD_SESSIONS),
        },
        reach,
      );
    }
  }

  private computePeriodMs(): number {
    const {min, max} = PERIOD_RANGE_MS;
    return clamp(PERIOD_PER_HOST_MS * this.options.countHosts(), min, max);
  }
}

function hasFoundBad({isNewVersionBad, plan}: ActiveRollout): boolean {
  return isNewVersionBad || plan.phase === 'rolledBack';
}

function takePart<T>(
  items: readonly T[],
  part: number,
  size: number,
): readonly T[] {
  return items.slice(part * size, (part + 1) * size);
}
