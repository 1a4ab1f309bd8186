import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {Execution} from '@anvilrudder/core';
import {startBookingStandIn, type BookingFaults} from '@anvilrudder/stand-ins';
import {
  HttpServiceClient,
  isBackendError,
  type BackendPhase,
  type ServiceCall,
} from '../../src/index.js';

const CALL: ServiceCall = {
  path: '/v1/confirmations',
  body: '{"pairing":1}',
  idempotencyKey: 'k',
  timeoutMs: 2000,
};

interface ServiceFaultCase {
  readonly fault: string;
  readonly faults: Partial<BookingFaults>;
  readonly call?: Partial<ServiceCall>;
  readonly phase: BackendPhase;
  readonly execution: Execution;
  /** Number of executions counted by the service itself. */
  readonly executions: number;
}

// prettier-ignore
const SERVICE_FAULT_CASES: readonly ServiceFaultCase[] = [
  {fault: 'the service refuses the call', faults: {refuse: 1}, phase: 'refused', execution: 'notRun', executions: 0},
  {fault: 'withheld right before the first byte', faults: {}, call: {confirmSend: () => false}, phase: 'beforeFirstByte', execution: 'notRun', executions: 0},
  {fault: 'connection cut before the call runs', faults: {dropBeforeRun: 1}, phase: 'sent', execution: 'unknown', executions: 0},
  {fault: 'connection cut after the call ran', faults: {dropAfterRun: 1}, phase: 'sent', execution: 'unknown', executions: 1},
  {fault: 'the response arrives after the timeout', faults: {delayMs: 600}, call: {timeoutMs: 300}, phase: 'sent', execution: 'unknown', executions: 1},
];

for (const row of SERVICE_FAULT_CASES) {
  const {fault, phase, execution, executions} = row;
  test(`[at-most-once] ${fault}: ${phase}, ${execution}`, async t => {
    const booking = await startBookingStandIn();
    t.after(() => booking.stop());
    const services = HttpServiceClient.create();
    t.after(() => services.close());
    booking.setFaults(row.faults);
    const calling = services.call(booking.address, {...CALL, ...row.call});
    await assert.rejects(calling, error => {
      assert.ok(isBackendError(error), String(error));
      assert.deepEqual([error.phase, error.execution], [phase, execution]);
      return true;
    });
    assert.equal(booking.executions().k ?? 0, executions);
  });
}
