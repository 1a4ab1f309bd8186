import type {PromptPart} from './exchange_types.js';

/** Parts remembered for one server at most; the oldest go first. */
const MAX_PARTS = 2000;
/** Part of a server's memory that keeps parts; requests that run take the rest. */
const KEPT_SHARE = 0.7;

/**
 * The prompt parts that one server has read, per model, in the order of their
 * last use. The server drops the least recently used ones too.
 */
export class PartMemory {
  private readonly tokensByKey = new Map<string, number>();
  private totalTokens = 0;

  private constructor() {}

  static create(): PartMemory {
    return new PartMemory();
  }

  /**
   * Notes the parts of a request that the server reads.
   *
   * @param kvCacheTokens tokens that the server's memory holds.
   */
  record(
    model: string,
    parts: readonly PromptPart[],
    memoryTokens = Infinity,
  ): void {
    for (const {id, tokens} of parts) {
      const key = `${model}/${id}`;
      this.forget(key);
      this.tokensByKey.set(key, tokens);
      this.totalTokens += tokens;
    }
    const mostTokens = KEPT_SHARE * memoryTokens;
    while (this.tokensByKey.size > MAX_PARTS || this.totalTokens > mostTokens) {
      const oldest = this.tokensByKey.keys().next().value;
      if (oldest === undefined) return;
      this.forget(oldest);
    }
  }

  /** Tokens at the start of a prompt that the server has read before. */
  countKnownTokens(model: string, parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      if (!this.tokensByKey.has(`${model}/${part.id}`)) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  private forget(key: string): void {
    this.totalTokens -= this.tokensByKey.get(key) ?? 0;
    this.tokensByKey.delete(key);
  }
}
