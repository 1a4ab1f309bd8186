/** Time in which a backend server reads prompts, learnt for each model. */
export class ReadSpeed {
  private readonly msPerToken = new Map<string, number>();

  private constructor(private readonly initialMsPerToken: number) {}

  /**
   * @example
   * ```ts
   * const speed = ReadSpeed.create({initialMsPerToken: 0.02});
   * speed.read('large');
   * ```
   */
  static create(options: {readonly initialMsPerToken: number}): ReadSpeed {
    return new ReadSpeed(options.initialMsPerToken);
  }

  read(model: string): number {
    return this.msPerToken.get(model) ?? this.initialMsPerToken;
  }

  /**
   * Takes in the time to a first event. Waiting for other requests is in it
   * too, so short times count more than long ones.
   */
  observe(model: string, unreadTokens: number, firstEventMs: number): void {
    if (unreadTokens < MIN_TOKENS) return;
    const seen = firstEventMs / unreadTokens;
    const before = this.read(model);
    const weight = seen < before ? FASTER_WEIGHT : SLOWER_WEIGHT;
    this.msPerToken.set(model, before + weight * (seen - before));
  }
}

/** Below this, the time says more of queues than of reading. */
const MIN_TOKENS = 500;
const FASTER_WEIGHT = 0.1;
const SLOWER_WEIGHT = 0.02;
