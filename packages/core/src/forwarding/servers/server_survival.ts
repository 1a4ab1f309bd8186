/**
 * What a connection attempt to a server has shown. `kept`: it was taken and stayed
 * open; `closed`: it was taken and ended at once; `refused`: nothing listens;
 * `unanswered`: nothing was heard in time.
 */
export type ProbeResult = 'kept' | 'closed' | 'refused' | 'unanswered';

/**
 * What is known of a server behind a response whose end only its connection marks.
 * `alive`: it serves on, so the end is its own; `left`: it was leaving, and is gone
 * with its last response; `crashed`: it is gone in any other way; `unknown`: nothing
 * shows.
 */
export type ServerSurvival = 'alive' | 'left' | 'crashed' | 'unknown';

/** Signs of whether a server outlives the end of a response. */
export interface ServerSigns {
  /** Of an attempt that was begun once the response had ended. */
  readonly probe: ProbeResult;
  /** Another connection to the server is still open. */
  readonly hasOpenConnection: boolean;
  /** Other requests at the server that its connections ended at the same moment. */
  readonly otherEndCount: number;
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
 * judgeSurvival({probe: 'refused', hasOpenConnection: false, otherEndCount: 0,
 *   isLeaving: false}); // 'crashed'
 * ```
 */
export function judgeSurvival({
  probe,
  hasOpenConnection,
  otherEndCount,
  isLeaving,
}: ServerSigns): ServerSurvival {
  if (probe === 'kept') return 'alive';
  if (probe === 'unanswered') return 'unknown';
  // A leaving server listens no more, and a full one closes new connections.
  if (hasOpenConnection) return 'alive';
  return isLeaving && otherEndCount === 0 ? 'left' : 'crashed';
}

/** When connections to one server have lately ended requests. */
export class ServerEnds {
  private endsMs: readonly number[] = [];

  private constructor() {}

  /**
   * @example
   * ```ts
   * const ends = ServerEnds.create();
   * ends.record(1000);
   * ends.countAt(1010); // 1
   * ```
   */
  static create(): ServerEnds {
    return new ServerEnds();
  }

  /** @param nowMs on the monotonic clock. */
  record(nowMs: number): void {
    const recent = this.endsMs.filter(
      endedMs => nowMs - endedMs <= 2 * SAME_MOMENT_MS,
    );
    this.endsMs = [...recent, nowMs];
  }

  /** Number of ends at the same moment as `atMs`. */
  countAt(atMs: number): number {
    return this.endsMs.filter(
      endedMs => Math.abs(endedMs - atMs) <= SAME_MOMENT_MS,
    ).length;
  }
}
