export * from './gen/anvilrudder/v1/control_pb.js';
export * from './gen/anvilrudder/v1/ledger_pb.js';
export * from './ledger/ledger_rpc.js';
