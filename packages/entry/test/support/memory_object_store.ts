import type {
  Execution,
  ObjectPage,
  ObjectStore,
  StoredObject,
  WatchEvent,
  WatchPage,
  WriteCondition,
  WriteResult,
} from '@anvilrudder/core';

/** A fault of one call. */
export type StoreFault =
  /** The call does not take effect, and its error says so. */
  | 'refused'
  /** The write takes effect, but its answer is lost. */
  | 'answerLost'
  /** The write does not take effect and no answer comes. */
  | 'requestLost';

/** A fault of the next call that matches. */
export interface ScriptedFault {
  readonly method?: 'get' | 'put' | 'delete' | 'list';
  readonly prefix?: string;
  /** Number of matching calls that pass before the fault. Default 0. */
  readonly skip?: number;
  readonly fault?: StoreFault;
  /** The call waits for this promise before it takes effect. */
  readonly holdBefore?: Promise<unknown>;
  /** The answer waits for this promise after the call took effect. */
  readonly holdAfter?: Promise<unknown>;
}

interface QueuedFault extends ScriptedFault {
  remainingSkips: number;
}

class FakeStoreError extends Error {
  constructor(readonly execution: Execution) {
    super(`the call to the object API failed (execution: ${execution})`);
  }
}

const PAGE_SIZE = 100;

/** An object API in memory with faults that a test scripts. */
export class MemoryObjectStore implements ObjectStore {
  /** While true, every call fails without taking effect. */
  isDown = false;
  /** Delay of each call. */
  delayMs = 0;
  readCount = 0;
  writeCount = 0;

  private readonly objects = new Map<string, StoredObject>();
  private readonly queuedFaults: QueuedFault[] = [];
  private readonly events: WatchEvent[] = [];
  private readonly watchers = new Set<() => void>();
  private version = 0;

  private constructor() {}

  static create(): MemoryObjectStore {
    return new MemoryObjectStore();
  }

  /** Adds faults, each for the next call that matches it. */
  injectFaults(...faults: readonly ScriptedFault[]): void {
    for (const fault of faults) {
      this.queuedFaults.push({...fault, remainingSkips: fault.skip ?? 0});
    }
  }

  /** Lists the keys that begin with a prefix; not counted as a call. */
  keys(prefix = ''): string[] {
    return [...this.objects.keys()].filter(k => k.startsWith(prefix)).sort();
  }

  /** Returns the value of a key; not counted as a call. */
  peek(key: string): string | undefined {
    return this.objects.get(key)?.value;
  }

  async get(key: string): Promise<StoredObject | undefined> {
    this.readCount += 1;
    return await this.call('get', key, () => this.objects.get(key));
  }

  async list(prefix: string, after = ''): Promise<ObjectPage> {
    this.readCount += 1;
    return await this.call('list', prefix, () => {
      const keys = this.keys(prefix).filter(key => key > after);
      const page = keys.slice(0, PAGE_SIZE);
      return {
        objects: page.map(key => this.objects.get(key)!),
        storeVersion: this.version,
        nextAfter: keys.length > PAGE_SIZE ? page.at(-1) : undefined,
      };
    });
  }

  async put(
    key: string,
    value: string,
    condition: WriteCondition,
  ): Promise<WriteResult> {
    this.writeCount += 1;
    return await this.call('put', key, () =>
      this.applyWrite(key, value, condition),
    );
  }

  async delete(key: string, condition: WriteCondition): Promise<WriteResult> {
    this.writeCount += 1;
    return await this.call('delete', key, () =>
      this.applyWrite(key, undefined, condition),
    );
  }

  async watch(
    prefix: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<WatchPage> {
    this.readCount += 1;
    const find = () =>
      this.events.filter(
        e => e.version > afterVersion && e.key.startsWith(prefix),
      );
    if (find().length === 0) {
      await new Promise<void>(resolve => {
        this.watchers.add(resolve);
        setTimeout(resolve, timeoutMs).unref();
      });
    }
    return {events: find(), storeVersion: this.version};
  }

  private async call<T>(
    method: ScriptedFault['method'],
    key: string,
    effect: () => T,
  ): Promise<T> {
    const scripted = this.takeMatchingFault(method, key);
    if (this.delayMs > 0) {
      await new Promise(resolve => setTimeout(resolve, this.delayMs));
    }
    await scripted?.holdBefore;
    if (this.isDown || scripted?.fault === 'refused') {
      throw new FakeStoreError('notRun');
    }
    if (scripted?.fault === 'requestLost') throw new FakeStoreError('unknown');
    const result = effect();
    await scripted?.holdAfter;
    if (scripted?.fault === 'answerLost') throw new FakeStoreError('unknown');
    return await Promise.resolve(result);
  }

  private takeMatchingFault(
    method: ScriptedFault['method'],
    key: string,
  ): ScriptedFault | undefined {
    const index = this.queuedFaults.findIndex(
      f =>
        (f.method === undefined || f.method === method) &&
        key.startsWith(f.prefix ?? ''),
    );
    if (index < 0) return undefined;
    const fault = this.queuedFaults[index];
    if (fault.remainingSkips > 0) {
      fault.remainingSkips -= 1;
      return undefined;
    }
    this.queuedFaults.splice(index, 1);
    return fault;
  }

  private applyWrite(
    key: string,
    value: string | undefined,
    condition: WriteCondition,
  ): WriteResult {
    const current = this.objects.get(key);
    const isAllowed =
      condition.kind === 'any' ||
      (condition.kind === 'absent'
        ? current === undefined
        : current?.version === condition.version);
    if (!isAllowed) return {status: 'conflict', current};
    this.version += 1;
    const version = this.version;
    if (value === undefined) this.objects.delete(key);
    else this.objects.set(key, {key, version, value});
    this.events.push({key, version, value});
    for (const resolve of this.watchers) resolve();
    this.watchers.clear();
    return {status: 'written', version};
  }
}
