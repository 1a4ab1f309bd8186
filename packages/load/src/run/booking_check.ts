import type {Execution} from '@anvilrudder/core';
import {
  HttpTransport,
  isJsonObject,
  parseJsonObject,
} from '@anvilrudder/clients';

/** What the caller was told of one idempotency key, all copies together. */
export interface ConfirmationRecord {
  readonly idempotencyKey: string;
  readonly executions: readonly Execution[];
}

/** Keys whose executions contradict what the caller was told. */
export interface BookingCheck {
  readonly checked: number;
  /** Keys that ran more than once. */
  readonly repeated: readonly string[];
  /** Keys that ran although each copy was said not to have run. */
  readonly ranThoughNotRun: readonly string[];
  /** Keys that did not run although an answer came. */
  readonly missing: readonly string[];
}

const TIMEOUT_MS = 10_000;
const MAX_ANSWER_BYTES = 256 * 1024 * 1024;

/** Reads the executions by key from a booking stand-in. */
export async function readExecutions(
  address: string,
): Promise<ReadonlyMap<string, number>> {
  const transport = HttpTransport.create();
  try {
    const answer = await transport.send({
      address,
      method: 'GET',
      path: '/admin/executions',
      timeoutMs: TIMEOUT_MS,
      maxResponseBytes: MAX_ANSWER_BYTES,
    });
    const byKey = parseJsonObject(answer.body)?.byKey;
    if (!isJsonObject(byKey)) throw new Error('malformed executions');
    return new Map(Object.entries(byKey).map(([k, n]) => [k, Number(n)]));
  } finally {
    await transport.close();
  }
}

/**
 * Compares what callers were told with what the booking service ran.
 *
 * @example
 * ```ts
 * checkBookings(records, await readExecutions('127.0.0.1:9100')).repeated;
 * ```
 */
export function checkBookings(
  records: readonly ConfirmationRecord[],
  executions: ReadonlyMap<string, number>,
): BookingCheck {
  const keysWhere = (
    isFault: (count: number, told: readonly Execution[]) => boolean,
  ) =>
    records
      .filter(record =>
        isFault(executions.get(record.idempotencyKey) ?? 0, record.executions),
      )
      .map(record => record.idempotencyKey);
  return {
    checked: records.length,
    repeated: keysWhere(count => count > 1),
    ranThoughNotRun: keysWhere(
      (count, told) => count > 0 && told.every(t => t === 'notRun'),
    ),
    missing: keysWhere((count, told) => count === 0 && told.includes('ran')),
  };
}
