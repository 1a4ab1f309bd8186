import bunyan from 'bunyan';
import {formatKeyValueLine, type LogFields} from './key_value_line.js';

/** Severity of an event, lowest first. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Writes one line for each event. */
export interface Logger {
  debug(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** A logger whose minimum level can be changed at runtime. */
export interface AdjustableLogger extends Logger {
  setLevel(level: LogLevel): void;
}

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Name of the program. */
  readonly name: string;
  /** Host from the settings; not the machine's own name. */
  readonly host: string;
  /** Minimum level that is written. */
  readonly level: LogLevel;
  /** Receives each line including its newline; default: standard output. */
  readonly writeLine?: (line: string) => void;
}

interface BunyanRecord {
  readonly time: Date;
  readonly level: number;
  readonly name: string;
  readonly msg: string;
  readonly fields: LogFields;
}

const LEVEL_NAMES: Readonly<Record<number, LogLevel>> = {
  20: 'debug',
  30: 'info',
  40: 'warn',
  50: 'error',
};

/**
 * Creates a logger that writes each event as one line of `key=value` fields,
 * beginning with `time`, `level`, `program`, `host` and `event`.
 *
 * @example
 * ```ts
 * const logger = createLogger({name: 'anvilrudder-entry', host: 'e1', level: 'info'});
 * logger.info('entry_started', {port: 8080});
 * ```
 */
export function createLogger(options: LoggerOptions): AdjustableLogger {
  const writeLine =
    options.writeLine ?? ((line: string) => process.stdout.write(line));
  const stream = {
    write(record: BunyanRecord): void {
      writeLine(`${formatRecord(record, options.host)}\n`);
    },
  };
  const bunyanLogger = bunyan.createLogger({
    name: options.name,
    streams: [
      {
        type: 'raw',
        level: options.level,
        stream: stream as unknown as NodeJS.WritableStream,
      },
    ],
  });
  return {
    debug: (event, fields) => bunyanLogger.debug({fields}, event),
    info: (event, fields) => bunyanLogger.info({fields}, event),
    warn: (event, fields) => bunyanLogger.warn({fields}, event),
    error: (event, fields) => bunyanLogger.error({fields}, event),
    setLevel: level => bunyanLogger.level(level),
  };
}

/** A logger that writes nothing, for tests. */
export const SILENT_LOGGER: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

function formatRecord(record: BunyanRecord, host: string): string {
  return formatKeyValueLine({
    time: record.time.toISOString(),
    level: LEVEL_NAMES[record.level] ?? 'info',
    program: record.name,
    host,
    event: record.msg,
    ...record.fields,
  });
}
