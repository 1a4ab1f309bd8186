/** Bytes that several holders take from one limit. */
export class ByteBudget {
  private takenBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /**
   * @example
   * ```ts
   * const budget = ByteBudget.create(1024);
   * budget.tryTake(2000); // false
   * ```
   */
  static create(maxBytes: number): ByteBudget {
    return new ByteBudget(maxBytes);
  }

  /** Takes bytes if they are left. */
  tryTake(bytes: number): boolean {
    if (this.takenBytes + bytes > this.maxBytes) return false;
    this.takenBytes += bytes;
    return true;
  }

  release(bytes: number): void {
    this.takenBytes -= bytes;
  }
}
