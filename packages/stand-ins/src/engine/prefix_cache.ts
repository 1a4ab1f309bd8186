import {createHash} from 'node:crypto';

/** An insertion into the prefix cache or an eviction from it. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefixHash: string;
}

/** A page of events; the next page is read after the number `next`. */
export interface CacheEventPage {
  readonly events: readonly CacheEvent[];
  readonly next: number;
}

/** Settings of a prefix cache. */
export interface PrefixCacheOptions {
  /** Maximum number of blocks; the least recently used one is evicted. */
  readonly entryLimit: number;
  /** Delay until an event is visible to readers. */
  readonly eventLagMs: number;
  /** Every n-th event is lost: readers never see it. 0 loses none. */
  readonly eventLossEvery: number;
}

interface TimestampedEvent {
  readonly recordedAtMs: number;
  readonly event: CacheEvent;
}

/** Length of a prompt block, in characters. */
export const PREFIX_BLOCK_CHARACTERS = 64;

const HASH_HEX_DIGITS = 16;
const EVENT_LIMIT = 1000;

/**
 * Hashes each prefix of whole blocks of a prompt, shortest first. The hash is
 * the first 16 hexadecimal digits of SHA-256 over `model@version`, a newline
 * and the prefix.
 *
 * @example
 * ```ts
 * createPrefixHashes('quick', 'v1', 'a'.repeat(130)).length; // 2
 * ```
 */
export function createPrefixHashes(
  model: string,
  version: string,
  prompt: string,
): readonly string[] {
  const hash = createHash('sha256').update(`${model}@${version}\n`);
  const blocks = Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS);
  return Array.from({length: blocks}, (_, block) => {
    const start = block * PREFIX_BLOCK_CHARACTERS;
    hash.update(prompt.slice(start, start + PREFIX_BLOCK_CHARACTERS));
    return hash.copy().digest('hex').slice(0, HASH_HEX_DIGITS);
  });
}

/** A least-recently-used cache of prompt prefixes. */
export class PrefixCache {
  private readonly entries = new Set<string>();
  private events: TimestampedEvent[] = [];
  private sequence = 0;

  private constructor(private readonly options: PrefixCacheOptions) {}

  static create(options: PrefixCacheOptions): PrefixCache {
    return new PrefixCache(options);
  }

  get size(): number {
    return this.entries.size;
  }

  /**
   * Stores the prefixes and marks them as used. Returns how many of them,
   * counted from the shortest, were already cached without a gap.
   */
  touch(prefixHashes: readonly string[]): number {
    const firstMiss = prefixHashes.findIndex(hash => !this.entries.has(hash));
    for (const hash of prefixHashes) this.store(hash);
    return firstMiss === -1 ? prefixHashes.length : firstMiss;
  }

  /** Lists the visible events after a sequence number. */
  listEventsAfter(after: number): CacheEventPage {
    const {eventLagMs, eventLossEvery} = this.options;
    const cutoffMs = performance.now() - eventLagMs;
    const visibleEvents = this.events.filter(
      ({recordedAtMs, event}) =>
        recordedAtMs <= cutoffMs && event.sequence > after,
    );
    const events = visibleEvents
      .map(({event}) => event)
      .filter(
        event => eventLossEvery <= 0 || event.sequence % eventLossEvery !== 0,
      );
    return {events, next: visibleEvents.at(-1)?.event.sequence ?? after};
  }

  private store(hash: string): void {
    const wasCached = this.entries.delete(hash);
    this.entries.add(hash);
    if (!wasCached) this.recordEvent('stored', hash);
    if (this.entries.size <= this.options.entryLimit) return;
    const [oldest] = this.entries;
    this.entries.delete(oldest);
    this.recordEvent('evicted', oldest);
  }

  private recordEvent(kind: CacheEvent['kind'], prefixHash: string): void {
    this.sequence += 1;
    const event = {sequence: this.sequence, kind, prefixHash};
    this.events.push({recordedAtMs: performance.now(), event});
    if (this.events.length > EVENT_LIMIT) {
      this.events = this.events.slice(-EVENT_LIMIT / 2);
    }
  }
}
