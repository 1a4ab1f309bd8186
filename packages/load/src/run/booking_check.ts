import type {Execution} from '@anvilrudder/core';
import {
  HttpTransport,
  isJsonObject,
  parseJsonObject,
} from '@anvilrudder/clients';

/** Execution states reported to the caller for one idempotency key. */
export interface ConfirmationRecord {
  readonly idempotencyKey: string;
  /** One for each copy of the service call. */
  readonly executions: readonly Execution[];
}

/**
 * Result of comparing the reported execution states with the executions that
 * the booking service counted.
 */
export interface BookingCheck {
  /** Number of idempotency keys checked. */
  readonly checked: number;
  /** Keys executed more than once. */
  readonly repeated: readonly string[];
  /** Keys executed although every copy was reported as `notRun`. */
  readonly ranThoughNotRun: readonly string[];
  /** Keys not executed although a copy was reported as `ran`. */
  readonly missing: readonly string[];
}

const TIMEOUT_MS = 10_000;
const MAX_RESPONSE_BYTES = 256 * 1024 * 1024;

/**
 * Fetches the number of executions by idempotency key from a booking stand-in.
 *
 * @param address `ip:port` of the stand-in.
 */
export async function fetchExecutionCounts(
  address: string,
): Promise<ReadonlyMap<string, number>> {
  const transport = HttpTransport.create();
  try {
    const response = await transport.send({
      address,
      method: 'GET',
      path: '/admin/executions',
      timeoutMs: TIMEOUT_MS,
      maxResponseBytes: MAX_RESPONSE_BYTES,
    });
    const byKey = parseJsonObject(response.body)?.byKey;
    if (!isJsonObject(byKey))
      throw new Error('booking stand-in returned no execution counts');
    return new Map(Object.entries(byKey).map(([k, n]) => [k, Number(n)]));
  } finally {
    await transport.close();
  }
}

/**
 * Compares the execution states reported to callers with the executions that
 * the booking service counted.
 *
 * @example
 * ```ts
 * checkBookings(records, await fetchExecutionCounts('127.0.0.1:9100')).repeated;
 * ```
 */
export function checkBookings(
  records: readonly ConfirmationRecord[],
  executionCounts: ReadonlyMap<string, number>,
): BookingCheck {
  const selectKeys = (
    isViolation: (count: number, reported: readonly Execution[]) => boolean,
  ) =>
    records
      .filter(record =>
        isViolation(
          executionCounts.get(record.idempotencyKey) ?? 0,
          record.executions,
        ),
      )
      .map(record => record.idempotencyKey);
  return {
    checked: records.length,
    repeated: selectKeys(count => count > 1),
    ranThoughNotRun: selectKeys(
      (count, reported) => count > 0 && reported.every(e => e === 'notRun'),
    ),
    missing: selectKeys(
      (count, reported) => count === 0 && reported.includes('ran'),
    ),
  };
}
