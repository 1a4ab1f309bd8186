import type {ArgsDef} from 'citty';
import {CliError} from './cli_error.js';
import {EXIT_CODES} from './exit_codes.js';

/** Values of the options, as the parser returns them. */
export type ParsedOptions = Readonly<Record<string, unknown>> & {
  readonly _: readonly string[];
};

const INTEGER_PATTERN = /^\d{1,15}$/;
const SHORT_HELP_FLAG = 'h';

/**
 * Reads the options of one command. On creation, unknown options, options
 * without a value and unexpected arguments are rejected with one error.
 */
export class OptionReader {
  private constructor(
    private readonly options: ParsedOptions,
    private readonly rawArgs: readonly string[],
  ) {}

  /** @throws CliError with the usage exit code. */
  static create(
    definitions: ArgsDef,
    options: ParsedOptions,
    rawArgs: readonly string[],
  ): OptionReader {
    const errors = findUsageErrors(definitions, options);
    if (errors.length > 0) {
      throw CliError.create(errors.join('\n'), EXIT_CODES.usage);
    }
    return new OptionReader(options, rawArgs);
  }

  /** Reads an optional option or argument. */
  readText(name: string): string | undefined {
    const value = this.options[name];
    return typeof value === 'string' ? value : undefined;
  }

  /** Reads a required option or argument. */
  readRequired(name: string): string {
    const value = this.readText(name);
    if (value !== undefined) return value;
    throw CliError.create(`--${name} is required`, EXIT_CODES.usage);
  }

  readFlag(name: string): boolean {
    return this.options[name] === true;
  }

  /** Reads all values of an option that may be repeated. */
  readList(name: string): readonly string[] {
    const flag = `--${name}`;
    return this.rawArgs.flatMap((arg, index) => {
      if (arg.startsWith(`${flag}=`)) return [arg.slice(flag.length + 1)];
      return arg === flag ? [this.rawArgs[index + 1]] : [];
    });
  }

  /** Reads an integer that is at least `min`. */
  readInteger(name: string, min: number, defaultValue: number): number {
    const text = this.readText(name);
    if (text === undefined) return defaultValue;
    if (INTEGER_PATTERN.test(text) && Number(text) >= min) return Number(text);
    throw CliError.create(
      `--${name} must be a whole number of at least ${min}, not ${JSON.stringify(text)}`,
      EXIT_CODES.usage,
    );
  }
}

function findUsageErrors(
  definitions: ArgsDef,
  options: ParsedOptions,
): readonly string[] {
  const known = new Set(Object.keys(definitions).flatMap(listKeys));
  const unknown = Object.keys(options)
    .filter(key => key !== '_' && key !== SHORT_HELP_FLAG && !known.has(key))
    .map(key => `unknown option ${key.length === 1 ? '-' : '--'}${key}`);
  const missingValues = Object.entries(definitions)
    .filter(
      ([name, {type}]) => type === 'string' && isMissingValue(options[name]),
    )
    .map(([name]) => `--${name} needs a value`);
  const positionalCount = Object.values(definitions).filter(
    ({type}) => type === 'positional',
  ).length;
  const unexpected = options._.slice(positionalCount).map(
    argument => `unexpected argument ${JSON.stringify(argument)}`,
  );
  return [...unknown, ...missingValues, ...unexpected];
}

// If an option has no value, the parser uses the next option as its value.
function isMissingValue(value: unknown): boolean {
  return typeof value === 'string' && (value === '' || value.startsWith('--'));
}

function listKeys(name: string): readonly string[] {
  const camelCase = name.replace(/-(\w)/g, (_, letter: string) =>
    letter.toUpperCase(),
  );
  return [name, camelCase];
}
