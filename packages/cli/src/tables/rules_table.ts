import {runRulesApply} from '../commands/rules_apply.js';
import {runRulesChange} from '../commands/rules_change.js';
import {runRulesCheck} from '../commands/rules_check.js';
import {runRulesDiff} from '../commands/rules_diff.js';
import {runRulesShow} from '../commands/rules_show.js';
import {runRulesStatus} from '../commands/rules_status.js';
import {SILENT_PROGRESS} from '../progress.js';
import {DEFAULT_SUBMIT_OPTIONS} from '../submit_change.js';
import {
  ENTRY_ARGS,
  FILE_ARG,
  JSON_ARG,
  createClientsFromOptions,
  readTimeoutMs,
  type CommandTable,
} from './command_spec.js';

/** Subcommands of `rules`. */
export const RULES_COMMANDS: CommandTable = {
  check: {
    description: 'Check a rule file without calling an entry',
    args: {...FILE_ARG, ...JSON_ARG},
    run: (options, io) =>
      runRulesCheck(
        {file: options.readRequired('file'), isJson: options.readFlag('json')},
        io,
      ),
  },
  apply: {
    description: 'Put a rule file in force on all entries, or refuse it',
    args: {
      ...FILE_ARG,
      ...ENTRY_ARGS,
      why: {type: 'string', description: 'Reason, for the audit trail'},
      who: {
        type: 'string',
        description: 'Operator name; must be the one of the token',
      },
      without: {
        type: 'string',
        valueHint: 'host',
        description: 'Host you confirm is stopped or fenced; may be repeated',
      },
      base: {
        type: 'string',
        valueHint: 'revision',
        description: 'Revision that the edit is based on, or latest',
      },
      'change-id': {
        type: 'string',
        valueHint: 'id',
        description: 'Change id of an earlier attempt to repeat',
      },
    },
    run: async (options, io) =>
      runRulesApply(
        {
          file: options.readRequired('file'),
          why: options.readRequired('why'),
          who: options.readText('who') ?? '',
          withoutHosts: options.readList('without'),
          base: options.readText('base'),
          changeId: options.readText('change-id'),
          isProgressForced: options.readFlag('progress'),
          isJson: options.readFlag('json'),
          submit: {
            ...DEFAULT_SUBMIT_OPTIONS,
            timeoutMs: readTimeoutMs(options, DEFAULT_SUBMIT_OPTIONS.timeoutMs),
          },
        },
        await createClientsFromOptions(options, io, SILENT_PROGRESS),
        io,
      ),
  },
  change: {
    description: 'Print the outcome of a change',
    args: {
      id: {type: 'positional', description: 'Change id', required: true},
      ...ENTRY_ARGS,
    },
    run: async (options, io) =>
      runRulesChange(
        {
          changeId: options.readRequired('id'),
          isJson: options.readFlag('json'),
        },
        await createClientsFromOptions(options, io),
        io,
      ),
  },
  status: {
    description: 'Print the revision in force on each entry',
    args: ENTRY_ARGS,
    run: async (options, io) =>
      runRulesStatus(
        {isJson: options.readFlag('json')},
        await createClientsFromOptions(options, io),
        io,
      ),
  },
  show: {
    description: 'Print the rule file in force',
    args: {
      ...ENTRY_ARGS,
      revision: {type: 'boolean', description: 'Print only the revision'},
    },
    run: async (options, io) =>
      runRulesShow(
        {
          isRevisionOnly: options.readFlag('revision'),
          isJson: options.readFlag('json'),
        },
        await createClientsFromOptions(options, io),
        io,
      ),
  },
  diff: {
    description: 'Compare a rule file with the rules in force',
    args: {...FILE_ARG, ...ENTRY_ARGS},
    run: async (options, io) =>
      runRulesDiff(
        {file: options.readRequired('file'), isJson: options.readFlag('json')},
        await createClientsFromOptions(options, io),
        io,
      ),
  },
};
