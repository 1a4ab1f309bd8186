import {setTimeout as delay} from 'node:timers/promises';
import type {AuditRecord} from '@anvilrudder/peers';
import type {CliIo} from '../cli_io.js';
import {callFirst, type EntryClient} from '../entry_client.js';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';
import {replaceControlCharacters} from '../format_table.js';

/** Options of `audit`. */
export interface AuditOptions {
  readonly who: string;
  readonly action: string;
  readonly afterSequence: bigint;
  readonly limit: number;
  /** Whether to wait for further records until the command is interrupted. */
  readonly isFollowing: boolean;
  readonly isJson: boolean;
  readonly pollIntervalMs: number;
}

export const DEFAULT_AUDIT_LIMIT = 100;
export const AUDIT_POLL_INTERVAL_MS = 2000;

/** Prints records of the audit trail, one per line. */
export async function runAudit(
  options: AuditOptions,
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  const signal = options.isFollowing ? io.createInterruptSignal() : undefined;
  let afterSequence = options.afterSequence;
  do {
    const records = await listRecords(options, afterSequence, entries);
    const format = options.isJson ? formatJson : formatText;
    io.writeOutput(records.map(format).join(''));
    afterSequence = records.at(-1)?.sequence ?? afterSequence;
    if (records.length < options.limit) {
      await waitForNextPoll(options.pollIntervalMs, signal);
    }
  } while (signal !== undefined && !signal.aborted);
  return EXIT_CODES.ok;
}

async function listRecords(
  {who, action, limit}: AuditOptions,
  afterSequence: bigint,
  entries: readonly EntryClient[],
): Promise<readonly AuditRecord[]> {
  const request = {who, action, afterSequence, limit};
  const {records} = await callFirst(entries, ({control}) =>
    control.listAudit(request),
  );
  return records;
}

async function waitForNextPoll(
  intervalMs: number,
  signal: AbortSignal | undefined,
): Promise<void> {
  if (signal === undefined) return;
  await delay(intervalMs, undefined, {signal}).catch(() => undefined);
}

function formatText(record: AuditRecord): string {
  const {sequence, host, action, who, outcome, why, id} = record;
  const time = formatTime(record.timeMs);
  const revisions = `${record.beforeRevision}->${record.afterRevision}`;
  const line = `${sequence} ${time} ${host} ${action} ${revisions} ${outcome} by ${who}: ${why} [${id}]`;
  return `${replaceControlCharacters(line)}\n`;
}

function formatJson(record: AuditRecord): string {
  const {host, action, who, why, outcome, id} = record;
  const json = {
    sequence: Number(record.sequence),
    time: formatTime(record.timeMs),
    host,
    action,
    who,
    why,
    beforeRevision: Number(record.beforeRevision),
    afterRevision: Number(record.afterRevision),
    outcome,
    id,
  };
  return `${JSON.stringify(json)}\n`;
}

function formatTime(timeMs: bigint): string {
  const date = new Date(Number(timeMs));
  return Number.isNaN(date.getTime()) ? String(timeMs) : date.toISOString();
}
