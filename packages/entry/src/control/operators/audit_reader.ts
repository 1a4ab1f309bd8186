import type {AuditEntry, AuditFilter} from '@anvilrudder/core';

/** Reads the records of the audit trail in sequence order. */
export interface AuditReader {
  list(filter: AuditFilter): Promise<readonly AuditEntry[]>;
}
