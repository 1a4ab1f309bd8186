/** Detects incarnations of other entries that count as lost. */
export class LostPeerDetector {
  private readonly lastSeenAtMs = new Map<string, number>();

  private constructor(private readonly lostAfterMs: number) {}

  static create(lostAfterMs: number): LostPeerDetector {
    return new LostPeerDetector(lostAfterMs);
  }

  /**
   * Returns the incarnations that have not been seen for `lostAfterMs`. Each is
   * returned once, and again only if it has been seen since.
   *
   * @param liveIncarnations incarnations that were heard from recently.
   * @param heldIncarnations incarnations that copies are held for. An unknown
   *   one, such as one that ended before it was ever heard from, counts as seen
   *   when its copies are first listed here.
   * @example
   * ```ts
   * lostPeerDetector.check(performance.now(), ['run-1'], held.listIncarnations());
   * ```
   */
  detect(
    nowMs: number,
    liveIncarnations: readonly string[],
    heldIncarnations: Iterable<string>,
  ): readonly string[] {
    for (const incarnation of liveIncarnations)
      this.lastSeenAtMs.set(incarnation, nowMs);
    for (const incarnation of heldIncarnations) {
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
