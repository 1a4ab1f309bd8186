import type {Execution} from '../errors/error_codes.js';
import type {
  ObjectPage,
  StoredObject,
  WriteCondition,
  WriteResult,
} from '../types/object_store.js';

/** One call to the object API that a protocol asks its driver to make. */
export type StoreStep =
  | {readonly kind: 'get'; readonly key: string}
  | {
      readonly kind: 'put';
      readonly key: string;
      readonly value: string;
      readonly condition: WriteCondition;
    }
  | {
      readonly kind: 'delete';
      readonly key: string;
      readonly condition: WriteCondition;
    }
  | {
      readonly kind: 'list';
      readonly prefix: string;
      readonly after: string | undefined;
    };

/** What came of a {@link StoreStep}. */
export type StoreReply =
  | {readonly kind: 'object'; readonly object: StoredObject | undefined}
  | {readonly kind: 'write'; readonly result: WriteResult}
  | {readonly kind: 'page'; readonly page: ObjectPage}
  | {readonly kind: 'failed'; readonly execution: Execution};

/**
 * A protocol over the object API as a coroutine: it yields calls and gets
 * their replies. The product's driver and the state exploration of the tests
 * run the same code.
 */
export type StoreProtocol<T> = Generator<StoreStep, T, StoreReply>;

/** Outcome of a read that may have failed. */
export type ReadOutcome =
  | {readonly status: 'read'; readonly object: StoredObject | undefined}
  | {readonly status: 'failed'};

/** Outcome of a listing that may have failed. */
export type ListOutcome =
  | {readonly status: 'read'; readonly page: ObjectPage}
  | {readonly status: 'failed'};

/** Outcome of {@link writeObject}. */
export type WriteOutcome =
  | {readonly status: 'written'; readonly version: number}
  | {readonly status: 'conflict'; readonly current: StoredObject | undefined}
  /** `unknown`: the write may still take effect, now or later. */
  | {readonly status: 'failed'; readonly execution: 'notRun' | 'unknown'};

/** A conditional write whose value no other writer uses. */
export interface ConditionalWrite {
  readonly key: string;
  readonly value: string;
  readonly condition: WriteCondition;
}

/** Attempts of one conditional write before its outcome is left open. */
export const WRITE_ATTEMPTS = 3;

/** Reads one object. */
export function* readObject(key: string): StoreProtocol<ReadOutcome> {
  const reply = yield {kind: 'get', key};
  if (reply.kind !== 'object') return {status: 'failed'};
  return {status: 'read', object: reply.object};
}

/** Reads one page of the objects below a prefix. */
export function* listObjects(
  prefix: string,
  after: string | undefined,
): StoreProtocol<ListOutcome> {
  const reply = yield {kind: 'list', prefix, after};
  if (reply.kind !== 'page') return {status: 'failed'};
  return {status: 'read', page: reply.page};
}

/**
 * Writes conditionally and settles a lost answer by repeating the same write.
 * A repeat that meets its own value proves that an earlier attempt took
 * effect. It is preferred to a plain read, which the store may answer from an
 * older copy. The value must be unique to this write.
 *
 * @example
 * ```ts
 * const write = yield* writeObject({key, value, condition: {kind: 'absent'}});
 * if (write.status === 'conflict') return parseClaim(write.current);
 * ```
 */
export function* writeObject(
  write: ConditionalWrite,
): StoreProtocol<WriteOutcome> {
  let mayHaveTakenEffect = false;
  for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
    const reply = yield {kind: 'put', ...write};
    if (reply.kind === 'write') {
      const {result} = reply;
      if (result.status === 'written') return result;
      const {current} = result;
      if (current?.value !== write.value) return result;
      return {status: 'written', version: current.version};
    }
    if (reply.kind !== 'failed') break;
    if (reply.execution !== 'notRun') mayHaveTakenEffect = true;
    if (!mayHaveTakenEffect) break;
  }
  return {
    status: 'failed',
    execution: mayHaveTakenEffect ? 'unknown' : 'notRun',
  };
}

/** Deletes an object if it still has a version; true when it is gone. */
export function* deleteObject(
  key: string,
  version: number,
): StoreProtocol<boolean> {
  const condition: WriteCondition = {kind: 'version', version};
  const reply = yield {kind: 'delete', key, condition};
  return reply.kind === 'write' && reply.result.status === 'written';
}
