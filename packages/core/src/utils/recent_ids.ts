/** A bounded set of ids that forgets the least recently added ones first. */
export class RecentIds {
  private readonly ids = new Set<string>();

  private constructor(private readonly maxCount: number) {}

  /**
   * @example
   * ```ts
   * const ids = RecentIds.create(100);
   * ids.add('a');
   * ids.has('a'); // true
   * ```
   */
  static create(maxCount: number): RecentIds {
    return new RecentIds(maxCount);
  }

  /** Adds an id, or makes it the most recent one. */
  add(id: string): void {
    this.ids.delete(id);
    this.ids.add(id);
    if (this.ids.size <= this.maxCount) return;
    const [oldest] = this.ids;
    this.ids.delete(oldest);
  }

  has(id: string): boolean {
    return this.ids.has(id);
  }
}
