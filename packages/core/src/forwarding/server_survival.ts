/**
 * What a connection attempt to a server has shown. `kept`: it was taken and stayed
 * open; `closed`: it was taken and ended at once; `refused`: nothing listens;
 * `unanswered`: nothing was heard in time.
 */
export type ProbeResult = 'kept' | 'closed' | 'refused' | 'unanswered';

/** How a request that was sent to a server ended there. */
export type ObservedEnd = 'closed' | 'cut';

/**
 * What is known of a server behind a response whose end only its connection marks.
 * `alive`: it serves on, so the end is its own; `left`: it was leaving and is gone;
 * `crashed`: it is gone without having said so, or other requests ended with it;
 * `unknown`: nothing shows.
 */
export type ServerSurvival = 'alive' | 'left' | 'crashed' | 'unknown';

/** Signs of whether a server outlives the end of a response. */
export interface ServerSigns {
  /** Of an attempt that was begun once the response had ended. */
  readonly probe: ProbeResult;
  /** Another connection to the server is still open. */
  readonly hasOpenConnection: boolean;
  /** Other requests at the server that broke off at the same moment. */
  readonly cutCount: number;
  /** Other responses of the server that a connection ended at the same moment. */
  readonly closedCount: number;
  /** The server has said that it leaves, or is no longer registered. */
  readonly isLeaving: boolean;
}

/** Time within which ends count as of one moment. */
const SAME_MOMENT_MS = 20;

/**
 * Judges whether a server outlives the end of a response. The system of a killed
 * process closes its connections in order, so their end alone shows nothing.
 *
 * @example
 * ```ts
 * judgeSurvival({probe: 'refused', hasOpenConnection: false, cutCount: 0,
 *   closedCount: 0, isLeaving: false}); // 'crashed'
 * ```
 */
export function judgeSurvival({
  probe,
  hasOpenConnection,
  cutCount,
  closedCount,
  isLeaving,
}: ServerSigns): ServerSurvival {
  if (cutCount > 0) return 'crashed';
  if (probe === 'kept') return 'alive';
  if (probe === 'unanswered') return 'unknown';
  // A leaving server listens no more, and a full one closes new connections.
  if (hasOpenConnection) return 'alive';
  return isLeaving && closedCount === 0 ? 'left' : 'crashed';
}

interface TimedEnd {
  readonly end: ObservedEnd;
  readonly atMs: number;
}

/** The ends of requests at one server that may be of one moment. */
export class ServerEnds {
  private ends: readonly TimedEnd[] = [];

  private constructor() {}

  /**
   * @example
   * ```ts
   * const ends = ServerEnds.create();
   * ends.record('cut', 1000);
   * ends.count('cut', 1010); // 1
   * ```
   */
  static create(): ServerEnds {
    return new ServerEnds();
  }

  /** @param nowMs on the monotonic clock. */
  record(end: ObservedEnd, nowMs: number): void {
    const recent = this.ends.filter(
      ({atMs}) => nowMs - atMs <= 2 * SAME_MOMENT_MS,
    );
    this.ends = [...recent, {end, atMs: nowMs}];
  }

  /** Number of ends of one kind at the same moment as `atMs`. */
  count(end: ObservedEnd, atMs: number): number {
    return this.ends.filter(
      observed =>
        observed.end === end &&
        Math.abs(observed.atMs - atMs) <= SAME_MOMENT_MS,
    ).length;
  }
}
