import {stripVTControlCharacters} from 'node:util';
import {
  defineCommand,
  renderUsage,
  runCommand,
  type ArgsDef,
  type CommandDef,
} from 'citty';
import {isCliError} from './cli_error.js';
import type {CliIo} from './cli_io.js';
import type {CommandSpec, CommandTable} from './tables/command_spec.js';
import {ORDER_COMMANDS} from './tables/orders_table.js';
import {RULES_COMMANDS} from './tables/rules_table.js';
import {TOP_LEVEL_COMMANDS} from './tables/top_level_table.js';
import {VERSION_COMMANDS} from './tables/versions_table.js';
import {EXIT_CODES, type ExitCode} from './exit_codes.js';
import {OptionReader, type ParsedOptions} from './option_reader.js';

const PROGRAM = 'anvilrudder';
const HELP_FLAGS: ReadonlySet<string> = new Set(['--help', '-h']);

/** Called with the exit code of the command that ran. */
type ExitCodeHandler = (exitCode: ExitCode) => void;

/** The command whose usage is shown, and its parent command. */
interface UsageTarget {
  readonly command: CommandDef;
  readonly parent: CommandDef | undefined;
}

/**
 * Runs a command line and returns its exit code. Never rejects.
 *
 * @example
 * ```ts
 * process.exitCode = await runCli(['rules', 'check', 'my.rules'], io);
 * ```
 */
export async function runCli(
  rawArgs: readonly string[],
  io: CliIo,
): Promise<ExitCode> {
  let exitCode: ExitCode | undefined;
  const root = createRootCommand(io, code => {
    exitCode = code;
  });
  if (rawArgs.length === 0 || rawArgs.some(arg => HELP_FLAGS.has(arg))) {
    return showUsage(root, rawArgs, io);
  }
  try {
    await runCommand(root, {rawArgs: [...rawArgs]});
    return exitCode ?? reportUnknownCommand(io);
  } catch (error) {
    return reportError(error, io);
  }
}

function createRootCommand(io: CliIo, onExit: ExitCodeHandler): CommandDef {
  const rules = defineCommand({
    meta: {name: 'rules', description: 'Work with the rule file'},
    subCommands: createCommands(RULES_COMMANDS, io, onExit),
  });
  const versions = defineCommand({
    meta: {name: 'versions', description: 'Work with model versions'},
    subCommands: createCommands(VERSION_COMMANDS, io, onExit),
  });
  const orders = defineCommand({
    meta: {name: 'orders', description: 'Order engines to load or drain'},
    subCommands: createCommands(ORDER_COMMANDS, io, onExit),
  });
  return defineCommand({
    meta: {name: PROGRAM, description: 'Operate an anvilrudder deployment'},
    subCommands: {
      rules,
      versions,
      orders,
      ...createCommands(TOP_LEVEL_COMMANDS, io, onExit),
    },
  });
}

function createCommands(
  table: CommandTable,
  io: CliIo,
  onExit: ExitCodeHandler,
): Record<string, CommandDef> {
  return Object.fromEntries(
    Object.entries(table).map(([name, spec]) => [
      name,
      createCommand(name, spec, io, onExit),
    ]),
  );
}

function createCommand(
  name: string,
  spec: CommandSpec,
  io: CliIo,
  onExit: ExitCodeHandler,
): CommandDef {
  const {description, args: definitions, run} = spec;
  return defineCommand<ArgsDef>({
    meta: {name, description},
    args: definitions,
    async run({args, rawArgs}) {
      const parsed: ParsedOptions = args;
      onExit(await run(OptionReader.create(definitions, parsed, rawArgs), io));
    },
  });
}

async function showUsage(
  root: CommandDef,
  rawArgs: readonly string[],
  io: CliIo,
): Promise<ExitCode> {
  const {command, parent} = findUsageTarget(root, rawArgs);
  const usage = await renderUsage(command, parent);
  const text = `${stripVTControlCharacters(usage)}\n`;
  if (rawArgs.length === 0) io.writeError(text);
  else io.writeOutput(text);
  return rawArgs.length === 0 ? EXIT_CODES.usage : EXIT_CODES.ok;
}

function findUsageTarget(
  root: CommandDef,
  rawArgs: readonly string[],
): UsageTarget {
  let target: UsageTarget = {command: root, parent: undefined};
  for (const name of rawArgs) {
    const subCommands = target.command.subCommands as
      Readonly<Record<string, CommandDef>> | undefined;
    if (subCommands === undefined || !Object.hasOwn(subCommands, name)) break;
    target = {command: subCommands[name], parent: target.command};
  }
  return target;
}

// The parser resolves inherited property names such as `constructor` as
// commands and then runs nothing.
function reportUnknownCommand(io: CliIo): ExitCode {
  io.writeError(`unknown command\nsee ${PROGRAM} --help\n`);
  return EXIT_CODES.usage;
}

function reportError(error: unknown, io: CliIo): ExitCode {
  if (isCliError(error)) {
    io.writeError(`${error.message}\n`);
    return error.exitCode;
  }
  if (error instanceof Error && error.name === 'CLIError') {
    const text = stripVTControlCharacters(error.message);
    io.writeError(`${text}\nsee ${PROGRAM} --help\n`);
    return EXIT_CODES.usage;
  }
  const text = error instanceof Error ? error.stack : String(error);
  io.writeError(`unexpected error: ${text}\n`);
  return EXIT_CODES.internal;
}
