import {parseKeyValueLine} from '@anvilrudder/observability';
import type {CliIo} from '../cli_io.js';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';

/** Options of `trace`. */
export interface TraceOptions {
  readonly requestId: string;
  /** Log files of one or more processes. */
  readonly logFiles: readonly string[];
  readonly isJson: boolean;
}

type LogLine = Readonly<Record<string, string>>;

const LINE_START = 'time=';
/** Log fields that contain the id of a request. */
const REQUEST_ID_FIELDS = ['request', 'requestId'] as const;
/** Events that change the state that a host has recorded for a server. */
const SERVER_STATE_EVENTS: ReadonlySet<string> = new Set([
  'server_registered',
  'server_gone',
  'server_doubtful',
]);

/** Events that tell why requests are refused, and what names their cause. */
const CAUSE_FIELD_BY_EVENT: ReadonlyMap<string, string> = new Map([
  ['part_quarantined', 'part'],
  ['request_quarantined', 'requestDigest'],
]);

/**
 * Prints the log lines of one request from the logs of several processes,
 * sorted by time, together with the state changes of the servers and the
 * quarantines of the request and of the prompt parts that these lines name.
 *
 * @example
 * ```ts
 * await runTrace({requestId: '9c41', logFiles: ['a.log'], isJson: false}, io);
 * ```
 */
export async function runTrace(
  options: TraceOptions,
  io: CliIo,
): Promise<ExitCode> {
  const texts = await Promise.all(options.logFiles.map(io.readFile));
  const lines = texts.flatMap(text => text.split('\n')).flatMap(parseLine);
  const requestLines = lines.filter(line =>
    belongsToRequest(line, options.requestId),
  );
  const servers = new Set(requestLines.map(line => line['server']));
  const serverLines = lines.filter(
    line =>
      SERVER_STATE_EVENTS.has(line['event']) && servers.has(line['server']),
  );
  const quarantineLines = lines.filter(line => isCauseOf(line, requestLines));
  const relatedLines = [...requestLines, ...serverLines, ...quarantineLines];
  const sortedLines = relatedLines.sort((a, b) =>
    (a['time'] ?? '').localeCompare(b['time'] ?? ''),
  );
  if (requestLines.length === 0) {
    io.writeError(`no log lines found for request ${options.requestId}\n`);
    return EXIT_CODES.refused;
  }
  if (options.isJson) io.writeOutput(`${JSON.stringify(sortedLines)}\n`);
  else io.writeOutput(sortedLines.map(formatLine).join(''));
  return EXIT_CODES.ok;
}

/** True if a line tells of the quarantine of what a request holds. */
function isCauseOf(line: LogLine, requestLines: readonly LogLine[]): boolean {
  const field = CAUSE_FIELD_BY_EVENT.get(line['event']);
  if (field === undefined) return false;
  return requestLines.some(({[field]: cause}) => cause === line[field]);
}

/** Parses a log line, skipping any prefix that a log shipper added to it. */
function parseLine(text: string): readonly LogLine[] {
  const start = text.indexOf(LINE_START);
  if (start < 0) return [];
  try {
    return [parseKeyValueLine(text.slice(start))];
  } catch (error) {
    if (error instanceof SyntaxError) return [];
    throw error;
  }
}

function belongsToRequest(line: LogLine, requestId: string): boolean {
  return REQUEST_ID_FIELDS.some(field => line[field] === requestId);
}

function formatLine(line: LogLine): string {
  const {time = '', host = '', event = '', ...fields} = line;
  const rest = Object.entries(fields)
    .filter(([name]) => name !== 'level' && name !== 'program')
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
  return `${time} ${host} ${event} ${rest}\n`;
}
