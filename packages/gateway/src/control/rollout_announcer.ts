import {clamp, type AnswerRow} from '@anvilrudder/core';
import type {ActiveRollout} from './active_rollout.js';
import type {RolloutAnnouncement} from './rollout_announcement.js';

/** Dependencies of {@link RolloutAnnouncer}. */
export interface RolloutAnnouncerOptions {
  /** Number of hosts that control the same rollouts, including this one. */
  readonly countHosts: () => number;
  readonly announce: (announcement: RolloutAnnouncement) => void;
}

/** When a host announced a rollout, and what the others know of it. */
interface AnnouncedState {
  readonly nextMs: number;
  /** All rows are repeated then, as messages may be lost or a host restart. */
  readonly nextRepeatMs: number;
  readonly revision: number;
  readonly isVersionBad: boolean;
  readonly step: number;
  /** When this host learnt that the rollout was rolled back. */
  readonly endedMs: number | undefined;
}

const NOT_ANNOUNCED: AnnouncedState = {
  nextMs: -Infinity,
  nextRepeatMs: -Infinity,
  revision: 0,
  isVersionBad: false,
  step: 0,
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
    const isUrgent =
      isVersionBad !== before.isVersionBad || step !== before.step;
    if (!isUrgent && nowMs < before.nextMs) return;
    const isRepeating = nowMs >= before.nextRepeatMs;
    const {rows, revision} = rollout.evidence.listOwnRows(
      isRepeating ? 0 : before.revision,
    );
    if (!isRepeating && !isUrgent && rows.length === 0) return;
    this.announce(rollout, rows, nowMs);
    this.states.set(rollout, {
      nextMs: nowMs + this.computePeriodMs(),
      nextRepeatMs: isRepeating ? nowMs + REPEAT_MS : before.nextRepeatMs,
      revision,
      isVersionBad,
      step,
      endedMs,
    });
  }

  private announce(
    rollout: ActiveRollout,
    rows: readonly AnswerRow[],
    nowMs: number,
  ): void {
    const {order, step} = rollout.plan;
    const {service, target, durationMs} = order;
    const elapsedMs = rollout.plan.elapsedMs(nowMs);
    const isVersionBad = hasFoundBad(rollout);
    const head = {service, target, durationMs, elapsedMs, step, isVersionBad};
    for (let first = 0; first === 0 || first < rows.length; first += MAX_ROWS) {
      const part = rows.slice(first, first + MAX_ROWS);
      this.options.announce({...head, rows: part});
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
