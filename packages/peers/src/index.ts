export * from './gen/anvilrudder/v1/control_pb.js';
