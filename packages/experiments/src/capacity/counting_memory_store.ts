import type {
  ObjectPage,
  ObjectStore,
  StoredObject,
  WatchEvent,
  WatchPage,
  WriteCondition,
  WriteResult,
} from '@anvilrudder/core';

const PAGE_SIZE = 100;

/** Numbers of calls and lengths of the values written and read. */
export interface StoreCounts {
  reads: number;
  writes: number;
  deletes: number;
  lists: number;
  watches: number;
  writtenBytes: number;
  /** Values returned, including those returned by a conflicting write. */
  readBytes: number;
}

/** An in-memory object store that counts calls and value lengths. */
export class CountingMemoryStore implements ObjectStore {
  /** While true, `put` throws an error with `execution: 'notRun'`. */
  isDown = false;
  readonly counts: StoreCounts = {
    reads: 0,
    writes: 0,
    deletes: 0,
    lists: 0,
    watches: 0,
    writtenBytes: 0,
    readBytes: 0,
  };
  private readonly objects = new Map<string, StoredObject>();
  private readonly events: WatchEvent[] = [];
  private readonly waiters = new Set<() => void>();
  private version = 0;

  private constructor() {}

  static create(): CountingMemoryStore {
    return new CountingMemoryStore();
  }

  /** Number of calls of all kinds. */
  get callCount(): number {
    const {reads, writes, deletes, lists, watches} = this.counts;
    return reads + writes + deletes + lists + watches;
  }

  async get(key: string): Promise<StoredObject | undefined> {
    this.counts.reads += 1;
    return this.countRead(this.objects.get(key));
  }

  async list(prefix: string, after = ''): Promise<ObjectPage> {
    this.counts.lists += 1;
    const keys = [...this.objects.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort();
    const page = keys.slice(0, PAGE_SIZE);
    return {
      objects: page.flatMap(key => this.countRead(this.objects.get(key)) ?? []),
      storeVersion: this.version,
      nextAfter: keys.length > PAGE_SIZE ? page.at(-1) : undefined,
    };
  }

  async put(
    key: string,
    value: string,
    condition: WriteCondition,
  ): Promise<WriteResult> {
    this.counts.writes += 1;
    if (this.isDown) throw createUnavailableError();
    this.counts.writtenBytes += value.length;
    return this.change(key, value, condition);
  }

  async delete(key: string, condition: WriteCondition): Promise<WriteResult> {
    this.counts.deletes += 1;
    return this.change(key, undefined, condition);
  }

  async watch(
    prefix: string,
    afterVersion: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Promise<WatchPage> {
    this.counts.watches += 1;
    const findEvents = (): readonly WatchEvent[] =>
      this.events.filter(
        event => event.version > afterVersion && event.key.startsWith(prefix),
      );
    if (findEvents().length === 0) await this.waitForEvent(timeoutMs, signal);
    const events = findEvents();
    for (const event of events) {
      this.counts.readBytes += event.value?.length ?? 0;
    }
    return {events, storeVersion: this.version};
  }

  private countRead<T extends StoredObject | undefined>(object: T): T {
    this.counts.readBytes += object?.value.length ?? 0;
    return object;
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

  private change(
    key: string,
    value: string | undefined,
    condition: WriteCondition,
  ): WriteResult {
    const current = this.objects.get(key);
    if (!isMet(condition, current)) {
      return {status: 'conflict', current: this.countRead(current)};
    }
    this.version += 1;
    const {version} = this;
    if (value === undefined) this.objects.delete(key);
    else this.objects.set(key, {key, version, value});
    this.events.push({key, version, value});
    for (const wake of [...this.waiters]) wake();
    return {status: 'written', version};
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

function createUnavailableError(): Error {
  return Object.assign(new Error('The store is unavailable.'), {
    execution: 'notRun',
  });
}
