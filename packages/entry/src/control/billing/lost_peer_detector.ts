/** Tells which runs of other entries are to be taken for lost. */
export class LostPeerDetector {
  private readonly lastSeenAtMs = new Map<string, number>();

  private constructor(private readonly lostAfterMs: number) {}

  static create(lostAfterMs: number): LostPeerDetector {
    return new LostPeerDetector(lostAfterMs);
  }

  /**
   * Lists each run that has been silent for too long, once for each silence.
   *
   * @param live runs that were heard lately.
   * @param held runs that copies are held for; one that ended before it was
   *   ever heard counts as seen when its copies are first noticed.
   * @example
   * ```ts
   * lostPeerDetector.check(performance.now(), ['run-1'], held.listIncarnations());
   * ```
   */
  detect(
    nowMs: number,
    live: readonly string[],
    held: Iterable<string>,
  ): readonly string[] {
    for (const incarnation of live) this.lastSeenAtMs.set(incarnation, nowMs);
    for (const incarnation of held) {
      if (this.lastSeenAtMs.has(incarnation)) continue;
      this.lastSeenAtMs.set(incarnation, nowMs);
    }
    const lost = [...this.lastSeenAtMs]
      .filter(([, seenAtMs]) => nowMs - seenAtMs >= this.lostAfterMs)
      .map(([incarnation]) => incarnation);
    for (const incarnation of lost) this.lastSeenAtMs.delete(incarnation);
    return lost;
  }
}
