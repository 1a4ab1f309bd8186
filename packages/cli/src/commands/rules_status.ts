import type {GetStatusResponse} from '@anvilrudder/peers';
import type {CliIo} from '../cli_io.js';
import {
  createRejectedError,
  createUnreachableError,
  describeFailure,
  isRejection,
  type EntryClient,
} from '../entry_client.js';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';
import {formatTable} from '../format_table.js';

/** Options of `rules status`. */
export interface RulesStatusOptions {
  readonly isJson: boolean;
}

interface StatusResult {
  readonly status: GetStatusResponse | undefined;
  readonly failure: string | undefined;
}

const HEADER = [
  'host',
  'revision',
  'digest',
  'serving',
  'confirmed',
  'pending',
];
const MEMBER_HEADER = ['member', 'failure domain', 'revision', 'heard'];
const DIGEST_LENGTH = 12;

/**
 * Prints the status of every entry. Returns the exit code `refused` unless all
 * entries answer, serve, and have the same rules with no change pending.
 */
export async function runRulesStatus(
  {isJson}: RulesStatusOptions,
  entries: readonly EntryClient[],
  io: CliIo,
): Promise<ExitCode> {
  const results = await Promise.all(entries.map(requestStatus));
  const statuses = results.flatMap(({status}) => status ?? []);
  const failures = results.flatMap(({failure}) => failure ?? []);
  if (statuses.length === 0) throw createUnreachableError(failures);
  const isSettled = failures.length === 0 && areSettled(statuses);
  if (isJson) {
    const report = {isSettled, entries: statuses.map(toJson), failures};
    io.writeOutput(`${JSON.stringify(report)}\n`);
  } else {
    io.writeOutput(formatTable(HEADER, statuses.map(toRow)));
    io.writeOutput(`\n${formatTable(MEMBER_HEADER, listMembers(statuses[0]))}`);
    io.writeError(failures.map(failure => `${failure}\n`).join(''));
  }
  return isSettled ? EXIT_CODES.ok : EXIT_CODES.refused;
}

async function requestStatus(entry: EntryClient): Promise<StatusResult> {
  try {
    const status = await entry.control.getStatus({});
    return {status, failure: undefined};
  } catch (error) {
    if (isRejection(error)) throw createRejectedError(entry, error);
    return {status: undefined, failure: describeFailure(entry, error)};
  }
}

function areSettled(statuses: readonly GetStatusResponse[]): boolean {
  const [{revision, digest}] = statuses;
  return statuses.every(
    status =>
      status.isServing &&
      status.pendingChangeId === '' &&
      status.revision === revision &&
      status.digest === digest,
  );
}

function toRow(status: GetStatusResponse): readonly string[] {
  return [
    status.host,
    String(status.revision),
    status.digest.slice(0, DIGEST_LENGTH),
    status.isServing ? `by ${status.servesBy}` : 'no',
    `${status.confirmedAgeMs} ms ago`,
    status.pendingChangeId === '' ? '-' : status.pendingChangeId,
  ];
}

function listMembers({
  members,
}: GetStatusResponse): ReadonlyArray<readonly string[]> {
  return members.map(({host, failureDomain, revision, heardAgeMs}) => [
    host,
    failureDomain,
    String(revision ?? '-'),
    heardAgeMs === undefined ? 'never' : `${heardAgeMs} ms ago`,
  ]);
}

interface MemberJson {
  readonly host: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly heardAgeMs: number | null;
  readonly revision: number | null;
}

interface StatusJson {
  readonly host: string;
  readonly revision: number;
  readonly digest: string;
  readonly pendingChangeId: string | null;
  readonly isServing: boolean;
  readonly servesBy: string;
  readonly confirmedAgeMs: number;
  readonly members: readonly MemberJson[];
}

function toJson(status: GetStatusResponse): StatusJson {
  const {host, digest, isServing, servesBy, confirmedAgeMs} = status;
  return {
    host,
    revision: Number(status.revision),
    digest,
    pendingChangeId: status.pendingChangeId || null,
    isServing,
    servesBy,
    confirmedAgeMs,
    members: status.members.map(member => ({
      host: member.host,
      incarnation: member.incarnation,
      failureDomain: member.failureDomain,
      heardAgeMs: member.heardAgeMs ?? null,
      revision: member.revision === undefined ? null : Number(member.revision),
    })),
  };
}
