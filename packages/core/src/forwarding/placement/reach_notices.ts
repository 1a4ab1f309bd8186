/** What a host tells the others about its links to a service. */
export interface ReachNotice {
  readonly service: string;
  readonly isReached: boolean;
}

/** Period of notices about a service that a host does not reach, at least. */
const MIN_PERIOD_MS = 1000;
/** Each further host lengthens the period, so that a host hears at most 100/s. */
const PERIOD_PER_HOST_MS = 10;
/** Periods for which a notice counts, as several in a row may be lost. */
const VALID_PERIODS = 5;
/** Notices of a change in a row, as one may be lost. */
const CHANGE_NOTICES = 2;

interface SentNotices {
  isReached: boolean;
  /** Notices since the last change. */
  count: number;
  /** Earliest time of the next one, unless the last change is news. */
  nextMs: number;
}

/**
 * Computes how long a host counts as one that does not reach a service after it
 * has said so, in milliseconds.
 */
export function computeNoticeValidityMs(hostCount: number): number {
  return VALID_PERIODS * computePeriodMs(hostCount);
}

/**
 * Decides when a host tells the others which services it does not reach: twice in
 * a row, then again and again until it reaches them, which it tells twice too.
 */
export class ReachNotices {
  private readonly sent = new Map<string, SentNotices>();

  private constructor() {}

  /**
   * @example
   * ```ts
   * const notices = ReachNotices.create();
   * notices.takeDue(['app'], hostCount, nowMs); // [{service: 'app', isReached: false}]
   * ```
   */
  static create(): ReachNotices {
    return new ReachNotices();
  }

  /**
   * Lists the notices that are due, as sent from then on.
   *
   * @param cutOffServices services that the host does not reach.
   */
  takeDue(
    cutOffServices: readonly string[],
    hostCount: number,
    nowMs: number,
  ): readonly ReachNotice[] {
    const cutOff = new Set(cutOffServices);
    return [...new Set([...cutOff, ...this.sent.keys()])]
      .map((service): ReachNotice => ({
        service,
        isReached: !cutOff.has(service),
      }))
      .filter(notice => this.takeIfDue(notice, hostCount, nowMs));
  }

  private takeIfDue(
    {service, isReached}: ReachNotice,
    hostCount: number,
    nowMs: number,
  ): boolean {
    const last = this.sent.get(service);
    const count = last?.isReached === isReached ? last.count : 0;
    const isNews = count < CHANGE_NOTICES;
    if (!isNews && nowMs < (last?.nextMs ?? nowMs)) return false;
    const nextMs = nowMs + computePeriodMs(hostCount);
    this.sent.set(service, {isReached, count: count + 1, nextMs});
    if (isReached && count + 1 === CHANGE_NOTICES) this.sent.delete(service);
    return true;
  }
}

function computePeriodMs(hostCount: number): number {
  return Math.max(MIN_PERIOD_MS, hostCount * PERIOD_PER_HOST_MS);
}
