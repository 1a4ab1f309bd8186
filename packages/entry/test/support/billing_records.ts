import type {BillingRecord} from '@anvilrudder/core';

/** Creates a billing record that costs 30 micros. */
export function createRecord(requestId: string): BillingRecord {
  return {
    requestId,
    organisation: 'hanbit',
    period: '2026-12',
    kind: 'icebreaker',
    model: 'quick',
    version: 'v1',
    promptTokens: 10,
    outputTokens: 20,
    costMicros: 30,
  };
}
