import type {PromptPart} from '../exchange_types.js';

/** Maximum number of tracked parts per server; the oldest are evicted first. */
const MAX_PARTS = 2000;
/** Share of the KV cache that holds parts; running requests use the rest. */
const CACHED_PARTS_SHARE = 0.7;

/** A prompt part under the key by which it is cached. */
export interface CacheKey {
  readonly key: string;
  readonly tokens: number;
}

/**
 * Creates the keys of a prompt once, for a comparison with many servers.
 *
 * @example
 * ```ts
 * const keys = createCacheKeys('small', demand.parts);
 * records.map(({prefixCache}) => prefixCache.countTokens(keys));
 * ```
 */
export function createCacheKeys(
  model: string,
  parts: readonly PromptPart[],
): readonly CacheKey[] {
  return parts.map(({id, tokens}) => ({key: `${model}/${id}`, tokens}));
}

/**
 * Estimates which prompt parts are in the KV cache of one server, per model.
 * Evicts the least recently used parts, as the server does.
 */
export class PrefixCacheEstimate {
  private readonly tokensByKey = new Map<string, number>();
  private totalTokens = 0;

  private constructor() {}

  static create(): PrefixCacheEstimate {
    return new PrefixCacheEstimate();
  }

  /**
   * Records the parts of a request that was sent to the server.
   *
   * @param kvCacheTokens capacity of the server's KV cache, in tokens.
   */
  record(
    model: string,
    parts: readonly PromptPart[],
    kvCacheTokens = Infinity,
  ): void {
    for (const {id, tokens} of parts) {
      const key = `${model}/${id}`;
      this.evict(key);
      this.tokensByKey.set(key, tokens);
      this.totalTokens += tokens;
    }
    const maxTokens = CACHED_PARTS_SHARE * kvCacheTokens;
    while (this.tokensByKey.size > MAX_PARTS || this.totalTokens > maxTokens) {
      const oldest = this.tokensByKey.keys().next().value;
      if (oldest === undefined) return;
      this.evict(oldest);
    }
  }

  /** Counts the tokens at the start of a prompt that are probably cached. */
  countCachedTokens(model: string, parts: readonly PromptPart[]): number {
    return this.countTokens(createCacheKeys(model, parts));
  }

  /** As {@link countCachedTokens}, with keys made by {@link createCacheKeys}. */
  countTokens(keys: readonly CacheKey[]): number {
    let tokens = 0;
    for (const part of keys) {
      if (!this.tokensByKey.has(part.key)) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  private evict(key: string): void {
    this.totalTokens -= this.tokensByKey.get(key) ?? 0;
    this.tokensByKey.delete(key);
  }
}
