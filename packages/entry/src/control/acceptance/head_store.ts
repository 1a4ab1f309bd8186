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

/** A version that no object has; a write conditional on it has no effect. */
const NO_VERSION = 0;

/** A head and the version of its stored object. */
export interface StoredHead {
  readonly head: RulesHead;
  readonly version: number;
}

/** Numbers of calls that a rules manager made to the object API. */
export interface StoreCallCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
}

/**
 * Reads and writes the head and the other objects of the rules. Counts the
 * calls and bounds the time that each may take.
 */
export class HeadStore {
  private readonly calls = {reads: 0, writes: 0, watches: 0};

  private constructor(
    private readonly store: ObjectStore,
    private readonly timeoutMs: number,
  ) {}

  /**
   * Creates the access to the head in an object store.
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
   * Reads the current head. A plain read may return a stale copy, so this sends
   * a conditional write that cannot succeed: the store checks the condition
   * against the current object and returns that object with the conflict.
   *
   * @returns undefined while no head exists.
   */
  async read(): Promise<StoredHead | undefined> {
    const result = await this.put('', {kind: 'version', version: NO_VERSION});
    if (result.status === 'written') return undefined;
    return resolveStoredHead(result);
  }

  /** Creates the first head; the result is a conflict if a head exists. */
  async create(head: RulesHead): Promise<WriteResult> {
    return this.put(formatHead(head), {kind: 'absent'});
  }

  /** Replaces the head unless it was updated since `base` was read. */
  async replace(base: StoredHead, next: RulesHead): Promise<WriteResult> {
    const {version} = base;
    return this.put(formatHead(next), {kind: 'version', version});
  }

  /** Waits up to `timeoutMs` milliseconds for changes of the head. */
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

  /**
   * Reads the value of an object, which may be stale.
   *
   * @returns undefined when the object does not exist.
   */
  async get(key: string): Promise<string | undefined> {
    this.calls.reads += 1;
    const object = await withTimeout(this.store.get(key), this.timeoutMs);
    return object?.value;
  }

  /** Creates an object unless it exists already. */
  async putIfAbsent(key: string, value: string): Promise<void> {
    this.calls.writes += 1;
    await withTimeout(
      this.store.put(key, value, {kind: 'absent'}),
      this.timeoutMs,
    );
  }

  /** Reads the values of all objects with a key prefix, in key order. */
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

  /** Returns the numbers of calls so far. */
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
 * Returns the current head that a conditional write reported as a conflict.
 *
 * @returns undefined when the write succeeded, no head exists or the stored
 *   value is not a valid head.
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
