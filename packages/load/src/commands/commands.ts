import {defineCommand} from 'citty';
import {compareReports, formatComparison} from '../compare/compare_reports.js';
import {formatReport} from '../report/table.js';
import {writeReports, type NamedReport} from '../report/write_report.js';
import type {LoadOptions} from '../run/load_options.js';
import {isLoadOptionError} from '../run/option_error.js';
import {isCorrect, runLoad} from '../run/run_load.js';
import {
  LOAD_ARGS,
  parseList,
  resolveLoadOptions,
  type LoadArgs,
} from './args.js';

/** Exit code when a response is incorrect or a booking check fails. */
const INCORRECT_RESULT_EXIT_CODE = 2;
const INVALID_OPTIONS_EXIT_CODE = 1;

async function writeReportsAndSetExitCode(
  args: LoadArgs,
  reports: readonly NamedReport[],
): Promise<void> {
  if (args.report !== '') await writeReports(args.report, reports);
  const isAllCorrect = reports.every(({report}) => isCorrect(report));
  if (!isAllCorrect) process.exitCode = INCORRECT_RESULT_EXIT_CODE;
}

/**
 * Runs the action and prints the issues of a LoadOptionError to stderr, one per
 * line. Other errors are rethrown.
 */
async function printOptionIssues(action: () => Promise<void>): Promise<void> {
  try {
    await action();
  } catch (error) {
    if (!isLoadOptionError(error)) throw error;
    const lines = error.issues.map(issue => `error: ${issue}\n`);
    process.stderr.write(lines.join(''));
    process.exitCode = INVALID_OPTIONS_EXIT_CODE;
  }
}

function printJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
}

async function runAndPrint(
  args: LoadArgs,
  options: LoadOptions,
): Promise<void> {
  const report = await runLoad(options);
  if (args.json) printJson(report);
  else process.stdout.write(formatReport(report));
  await writeReportsAndSetExitCode(args, [{name: 'load', report}]);
}

async function compareAndPrint(
  args: LoadArgs,
  directOptions: LoadOptions,
  entryOptions: LoadOptions,
): Promise<void> {
  const direct = await runLoad(directOptions);
  const entry = await runLoad(entryOptions);
  const rows = compareReports(direct, entry);
  if (args.json) printJson({direct, entry, rows});
  else {
    process.stdout.write(`direct: ${formatReport(direct)}\n`);
    process.stdout.write(`entry: ${formatReport(entry)}\n`);
    process.stdout.write(formatComparison(rows));
  }
  await writeReportsAndSetExitCode(args, [
    {name: 'direct', report: direct},
    {name: 'entry', report: entry},
  ]);
}

const run = defineCommand({
  meta: {name: 'run', description: 'Send a load and measure the responses'},
  args: {
    target: {
      type: 'string',
      required: true,
      description:
        'http://127.0.0.1:port,… of entries, or of engines with --direct',
    },
    direct: {
      type: 'boolean',
      default: false,
      description: 'send requests to engines, using their protocol',
    },
    ...LOAD_ARGS,
  },
  run: ({args}) =>
    printOptionIssues(async () => {
      const targets = parseList(args.target);
      const options = resolveLoadOptions(args, targets, args.direct);
      await runAndPrint(args, options);
    }),
});

const compare = defineCommand({
  meta: {
    name: 'compare',
    description: 'Send the same load directly to engines and through entries',
  },
  args: {
    engines: {
      type: 'string',
      required: true,
      description: 'http://127.0.0.1:port,… of engines',
    },
    entries: {
      type: 'string',
      required: true,
      description: 'http://127.0.0.1:port,… of entries',
    },
    ...LOAD_ARGS,
  },
  run: ({args}) =>
    printOptionIssues(async () => {
      const engines = parseList(args.engines);
      const entries = parseList(args.entries);
      const directOptions = resolveLoadOptions(args, engines, true);
      const entryOptions = resolveLoadOptions(args, entries, false);
      await compareAndPrint(args, directOptions, entryOptions);
    }),
});

/** The command `anvilrudder-load`. */
export const loadCommand = defineCommand({
  meta: {
    name: 'anvilrudder-load',
    description: 'Send an open-loop load to targets on loopback addresses',
  },
  subCommands: {run, compare},
});
