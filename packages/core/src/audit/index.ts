export * from './audit_record.js';
export * from './audit_protocol.js';
