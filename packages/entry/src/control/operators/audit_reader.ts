/** One record of the audit trail. */
export interface AuditRecord {
  readonly sequence: number;
  /** Wall clock of the host that wrote the record, in milliseconds. */
  readonly timeMs: number;
  readonly host: string;
  readonly action: string;
  readonly who: string;
  readonly why: string;
  readonly beforeRevision: number;
  readonly afterRevision: number;
  readonly outcome: string;
  readonly id: string;
}

/** Which records to list; undefined fields match everything. */
export interface AuditQuery {
  readonly who: string | undefined;
  readonly action: string | undefined;
  readonly afterSequence: number;
  readonly limit: number;
}

/** Reads the audit trail in the order of its sequence. */
export interface AuditReader {
  list(query: AuditQuery): Promise<readonly AuditRecord[]>;
}
