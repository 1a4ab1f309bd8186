import {parseKeyValueLine} from '@anvilrudder/observability';
import type {CliIo} from '../cli_io.js';
import {EXIT_CODES, type ExitCode} from '../exit_codes.js';

/** Options of `trace`. */
export interface TraceOptions {
  readonly requestId: string;
  /** Log files of any number of processes. */
  readonly logFiles: readonly string[];
  readonly isJson: boolean;
}

type LogLine = Readonly<Record<string, string>>;

const LINE_START = 'time=';
/** Fields that hold the id of a request. */
const ID_FIELDS = ['request', 'requestId'] as const;
/** Events that change what a host believes, shown for the servers tried. */
const SERVER_EVENTS: ReadonlySet<string> = new Set([
  'server_registered',
  'server_gone',
  'server_doubtful',
]);

/**
 * Prints all lines of one request from the logs of several processes in the
 * order of their time, and what became known of the servers that it was sent
 * to.
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
  const own = lines.filter(line => isOfRequest(line, options.requestId));
  const servers = new Set(own.map(line => line['server']));
  const others = lines.filter(
    line => SERVER_EVENTS.has(line['event']) && servers.has(line['server']),
  );
  const all = [...own, ...others].sort((a, b) =>
    (a['time'] ?? '').localeCompare(b['time'] ?? ''),
  );
  if (own.length === 0) {
    io.writeError(`no line of request ${options.requestId}\n`);
    return EXIT_CODES.refused;
  }
  if (options.isJson) io.writeOutput(`${JSON.stringify(all)}\n`);
  else io.writeOutput(all.map(formatLine).join(''));
  return EXIT_CODES.ok;
}

/** Parses a line; what a log shipper wrote before it is passed over. */
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

function isOfRequest(line: LogLine, requestId: string): boolean {
  return ID_FIELDS.some(field => line[field] === requestId);
}

function formatLine(line: LogLine): string {
  const {time = '', host = '', event = '', ...fields} = line;
  const rest = Object.entries(fields)
    .filter(([name]) => name !== 'level' && name !== 'program')
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
  return `${time} ${host} ${event} ${rest}\n`;
}
