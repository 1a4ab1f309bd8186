import {create} from '@bufbuild/protobuf';
import {
  Code,
  ConnectError,
  createClient,
  type ServiceImpl,
  type Transport,
} from '@connectrpc/connect';
import {isRouterError, type HoldRequest} from '@anvilrudder/core';
import {
  BillingRecordSchema,
  HoldRecordsRequestSchema,
  LedgerService,
  type HoldRecordsRequest,
} from '../gen/anvilrudder/v1/ledger_pb.js';

/**
 * Creates the handlers of the ledger service.
 *
 * @param hold throws a RouterError when it cannot hold the copies; the caller
 *   gets its public message with the code `resource_exhausted`.
 * @example
 * ```ts
 * router.service(LedgerService, createLedgerHandlers(r => buffer.hold(r)));
 * ```
 */
export function createLedgerHandlers(
  hold: (request: HoldRequest) => void,
): ServiceImpl<typeof LedgerService> {
  return {
    holdRecords(message) {
      try {
        hold(parseHoldRequest(message));
      } catch (error) {
        if (!isRouterError(error)) throw error;
        throw new ConnectError(error.publicMessage, Code.ResourceExhausted);
      }
      return {};
    },
  };
}

/**
 * Creates a function that sends copies of billing records to a peer.
 *
 * @returns a function that rejects with a ConnectError when the peer does not
 *   confirm that it holds the copies.
 * @example
 * ```ts
 * const peer = {host: 'entry-2', hold: createHoldClient(transport)};
 * ```
 */
export function createHoldClient(
  transport: Transport,
): (request: HoldRequest) => Promise<void> {
  const client = createClient(LedgerService, transport);
  return async request => {
    await client.holdRecords(createHoldMessage(request));
  };
}

function createHoldMessage(request: HoldRequest): HoldRecordsRequest {
  const {batch, durableThrough} = request;
  const {shard, incarnation, sequence} = batch;
  const records = batch.records.map(r => create(BillingRecordSchema, r));
  return create(HoldRecordsRequestSchema, {
    shard,
    incarnation,
    sequence,
    records,
    durableThrough,
  });
}

function parseHoldRequest(message: HoldRecordsRequest): HoldRequest {
  const {shard, incarnation, sequence, durableThrough} = message;
  const records = message.records.map(record => ({
    requestId: record.requestId,
    organisation: record.organisation,
    period: record.period,
    kind: record.kind,
    model: record.model,
    version: record.version,
    promptTokens: record.promptTokens,
    outputTokens: record.outputTokens,
    costMicros: record.costMicros,
  }));
  return {batch: {shard, incarnation, sequence, records}, durableThrough};
}
