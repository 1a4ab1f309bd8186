import type {AuditEntry, AuditFilter} from '@anvilrudder/core';

/** Reads the audit trail in the order of its sequence. */
export interface AuditReader {
  list(filter: AuditFilter): Promise<readonly AuditEntry[]>;
}
