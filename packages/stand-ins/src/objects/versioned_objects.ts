/** An object as the object API returns it. */
export interface ObjectRecord {
  readonly key: string;
  readonly version: number;
  readonly value: string;
}

/** A change of an object; `value` is null for a deletion. */
export interface ObjectEvent {
  readonly key: string;
  readonly version: number;
  readonly value: string | null;
}

/** Condition under which a write is applied. */
export type Precondition =
  | {readonly kind: 'any'}
  | {readonly kind: 'absent'}
  | {readonly kind: 'version'; readonly version: number};

/** The outcome of a conditional write. */
export type ChangeResult =
  | {readonly isApplied: true; readonly version: number}
  | {readonly isApplied: false; readonly current: ObjectRecord | null};

/** A page of objects in key order. */
export interface RecordPage {
  readonly objects: readonly ObjectRecord[];
  readonly storeVersion: number;
  readonly nextAfter?: string;
}

type Predicate = (current: ObjectRecord | undefined) => boolean;

function createPredicate(precondition: Precondition): Predicate {
  if (precondition.kind === 'any') return () => true;
  if (precondition.kind === 'absent') return current => current === undefined;
  return current => current?.version === precondition.version;
}

/** In-memory store of versioned objects with a bounded change history. */
export class VersionedObjects {
  private storeVersion = 0;
  private readonly history: ObjectEvent[] = [];
  private lastDroppedVersion = 0;
  private readonly listeners = new Set<() => void>();
  private readonly records = new Map<string, ObjectRecord>();

  private constructor(private readonly historyLimit: number) {}

  static create(historyLimit: number): VersionedObjects {
    return new VersionedObjects(historyLimit);
  }

  /** Version of the latest change. */
  get version(): number {
    return this.storeVersion;
  }

  /** Copies the objects, without the history; later changes don't affect it. */
  copy(): VersionedObjects {
    const copy = new VersionedObjects(this.historyLimit);
    copy.storeVersion = this.storeVersion;
    for (const [key, recordEvent] of this.records)
      copy.records.set(key, recordEvent);
    return copy;
  }

  get(key: string): ObjectRecord | undefined {
    return this.records.get(key);
  }

  put(key: string, value: string, precondition: Precondition): ChangeResult {
    return this.change(key, value, precondition);
  }

  delete(key: string, precondition: Precondition): ChangeResult {
    return this.change(key, null, precondition);
  }

  list(prefix: string, after: string, limit: number): RecordPage {
    const keys = [...this.records.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort();
    const objects = keys.slice(0, limit).map(key => this.records.get(key)!);
    const page = {objects, storeVersion: this.storeVersion};
    if (keys.length <= limit) return page;
    return {...page, nextAfter: objects[objects.length - 1].key};
  }

  /**
   * Lists the changes after a version, or returns undefined if the history no
   * longer reaches back to it.
   */
  listEventsAfter(
    prefix: string,
    version: number,
  ): readonly ObjectEvent[] | undefined {
    if (version < this.lastDroppedVersion) return undefined;
    // The history is sorted by version, and most callers ask for its last
    // changes, so it is searched from the end.
    const last = this.history.findLastIndex(event => event.version <= version);
    return this.history
      .slice(last + 1)
      .filter(event => event.key.startsWith(prefix));
  }

  /** Calls the listener after each change; the result unsubscribes it. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private change(
    key: string,
    value: string | null,
    precondition: Precondition,
  ): ChangeResult {
    const current = this.records.get(key);
    if (!createPredicate(precondition)(current)) {
      return {isApplied: false, current: current ?? null};
    }
    this.storeVersion += 1;
    const version = this.storeVersion;
    if (value === null) this.records.delete(key);
    else this.records.set(key, {key, version, value});
    this.record({key, version, value});
    return {isApplied: true, version};
  }

  private record(event: ObjectEvent): void {
    this.history.push(event);
    if (this.history.length > this.historyLimit) {
      this.lastDroppedVersion = this.history.shift()!.version;
    }
    for (const listener of [...this.listeners]) listener();
  }
}
