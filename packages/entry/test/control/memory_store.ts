import type {
  ObjectPage,
  ObjectStore,
  StoredObject,
  WatchEvent,
  WatchPage,
  WriteCondition,
  WriteResult,
} from '@anvilrudder/core';

/** An in-memory object store that simulates faults of the object API. */
export class MemoryStore implements ObjectStore {
  /** While true, calls fail without effect. */
  isDown = false;
  /** Number of next writes that take effect but fail with a lost answer. */
  loseWriteAnswers = 0;
  /** Stale copy from which plain reads and lists are answered, if set. */
  staleCopy: ReadonlyMap<string, StoredObject> | undefined;
  readonly objects = new Map<string, StoredObject>();
  readonly calls = {reads: 0, writes: 0, watches: 0};
  private version = 0;
  private readonly events: WatchEvent[] = [];
  private readonly waiters = new Set<() => void>();

  static create(): MemoryStore {
    return new MemoryStore();
  }

  async get(key: string): Promise<StoredObject | undefined> {
    this.calls.reads += 1;
    this.assertAvailable();
    return (this.staleCopy ?? this.objects).get(key);
  }

  async put(
    key: string,
    value: string,
    condition: WriteCondition,
  ): Promise<WriteResult> {
    this.calls.writes += 1;
    this.assertAvailable();
    const current = this.objects.get(key);
    if (!isMet(condition, current)) return {status: 'conflict', current};
    this.version += 1;
    const {version} = this;
    this.objects.set(key, {key, version, value});
    this.events.push({key, version, value});
    for (const wake of this.waiters) wake();
    if (this.loseWriteAnswers > 0) {
      this.loseWriteAnswers -= 1;
      throw createStoreError('unknown');
    }
    return {status: 'written', version};
  }

  async delete(key: string): Promise<WriteResult> {
    this.assertAvailable();
    this.version += 1;
    this.objects.delete(key);
    return {status: 'written', version: this.version};
  }

  async list(prefix: string): Promise<ObjectPage> {
    this.calls.reads += 1;
    this.assertAvailable();
    const objects = [...(this.staleCopy ?? this.objects).values()]
      .filter(object => object.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {objects, storeVersion: this.version, nextAfter: undefined};
  }

  async watch(
    prefix: string,
    afterVersion: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<WatchPage> {
    this.calls.watches += 1;
    this.assertAvailable();
    const find = (): readonly WatchEvent[] =>
      this.events.filter(
        event => event.key.startsWith(prefix) && event.version > afterVersion,
      );
    if (find().length === 0) await this.waitForEvent(timeoutMs, signal);
    this.assertAvailable();
    return {events: find(), storeVersion: this.version};
  }

  private async waitForEvent(
    timeoutMs: number,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    await new Promise<void>(resolve => {
      const wake = (): void => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      this.waiters.add(wake);
      signal?.addEventListener('abort', wake, {once: true});
    });
  }

  private assertAvailable(): void {
    if (this.isDown) throw createStoreError('notRun');
  }
}

function isMet(
  condition: WriteCondition,
  current: StoredObject | undefined,
): boolean {
  if (condition.kind === 'any') return true;
  if (condition.kind === 'absent') return current === undefined;
  return current?.version === condition.version;
}

function createStoreError(execution: 'notRun' | 'unknown'): Error {
  return Object.assign(new Error('The store did not answer.'), {execution});
}
