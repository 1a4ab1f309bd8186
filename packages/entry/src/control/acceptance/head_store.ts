import {
  formatHead,
  parseHead,
  type ObjectStore,
  type RulesHead,
  type WatchPage,
  type WriteResult,
} from '@anvilrudder/core';
import {withTimeout} from './timing.js';

/** Key of the head object. */
export const HEAD_KEY = 'rules/head';

/** A version that no object has, so that a write under it never takes effect. */
const NO_VERSION = 0;

/** The head and the version of its object. */
export interface StoredHead {
  readonly head: RulesHead;
  readonly version: number;
}

/** Counts of the keeper's calls to the object API. */
export interface StoreCallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
}

/** Reads and writes the head object. */
export class HeadStore {
  private readonly calls = {reads: 0, writes: 0, watches: 0};

  private constructor(
    private readonly store: ObjectStore,
    private readonly timeoutMs: number,
  ) {}

  /**
   * Creates the access to the head of a store.
   *
   * @example
   * ```ts
   * const stored = await HeadStore.create(store, 2_000).read();
   * ```
   */
  static create(store: ObjectStore, timeoutMs: number): HeadStore {
    return new HeadStore(store, timeoutMs);
  }

  /**
   * Reads the head as the store holds it now. A plain read may be answered
   * from an older copy; a conditional write that cannot succeed is decided
   * against the object itself and answers with it.
   *
   * @returns undefined while no head exists.
   */
  async read(): Promise<StoredHead | undefined> {
    const result = await this.put('', {kind: 'version', version: NO_VERSION});
    if (result.status === 'written') return undefined;
    return resolveStoredHead(result);
  }

  /** Creates the first head; a conflict means that there is one. */
  async create(head: RulesHead): Promise<WriteResult> {
    return this.put(formatHead(head), {kind: 'absent'});
  }

  /** Replaces the head that was read. */
  async replace(base: StoredHead, next: RulesHead): Promise<WriteResult> {
    const {version} = base;
    return this.put(formatHead(next), {kind: 'version', version});
  }

  /** Waits for changes of the head. */
  async watch(
    afterVersion: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<WatchPage> {
    this.calls.watches += 1;
    return withTimeout(
      this.store.watch(HEAD_KEY, afterVersion, timeoutMs, signal),
      timeoutMs + this.timeoutMs,
    );
  }

  /** Counts a read of another object. */
  async get(key: string): Promise<string | undefined> {
    this.calls.reads += 1;
    const object = await withTimeout(this.store.get(key), this.timeoutMs);
    return object?.value;
  }

  /** Creates an object unless it exists. */
  async putIfAbsent(key: string, value: string): Promise<void> {
    this.calls.writes += 1;
    await withTimeout(
      this.store.put(key, value, {kind: 'absent'}),
      this.timeoutMs,
    );
  }

  /** Reads all values below a prefix in the order of their keys. */
  async listValues(prefix: string): Promise<readonly string[]> {
    const values: string[] = [];
    let after: string | undefined;
    do {
      this.calls.reads += 1;
      const page = await withTimeout(
        this.store.list(prefix, after),
        this.timeoutMs,
      );
      values.push(...page.objects.map(object => object.value));
      after = page.nextAfter;
    } while (after !== undefined);
    return values;
  }

  /** Reads the counts of calls so far. */
  readCallCounts(): StoreCallCounts {
    return {...this.calls};
  }

  private async put(
    value: string,
    condition: Parameters<ObjectStore['put']>[2],
  ): Promise<WriteResult> {
    this.calls.writes += 1;
    const write = this.store.put(HEAD_KEY, value, condition);
    return withTimeout(write, this.timeoutMs);
  }
}

/**
 * Reads the head out of a refused conditional write.
 *
 * @example
 * ```ts
 * resolveStoredHead(await headStore.replace(base, next))?.head.sequence;
 * ```
 */
export function resolveStoredHead(result: WriteResult): StoredHead | undefined {
  if (result.status === 'written' || result.current === undefined) {
    return undefined;
  }
  const head = parseHead(result.current.value);
  if (head === undefined) return undefined;
  return {head, version: result.current.version};
}
