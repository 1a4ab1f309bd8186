import type {ArgsDef} from 'citty';
import type {CliIo} from './cli_io.js';
import {resolveClientSettings} from './client_settings.js';
import {
  AUDIT_POLL_INTERVAL_MS,
  DEFAULT_AUDIT_LIMIT,
  runAudit,
} from './commands/audit.js';
import {runExplain, runExplainFile} from './commands/explain.js';
import {runRulesApply} from './commands/rules_apply.js';
import {runRulesChange} from './commands/rules_change.js';
import {runRulesCheck} from './commands/rules_check.js';
import {runRulesDiff} from './commands/rules_diff.js';
import {runRulesShow} from './commands/rules_show.js';
import {runRulesStatus} from './commands/rules_status.js';
import {createEntryClients, type EntryClient} from './entry_client.js';
import type {ExitCode} from './exit_codes.js';
import type {OptionReader} from './option_reader.js';
import {createProgress, SILENT_PROGRESS} from './progress.js';
import {DEFAULT_SUBMIT_OPTIONS} from './submit_change.js';

/** One command: its options and what it does. */
export interface CommandSpec {
  readonly description: string;
  readonly args: ArgsDef;
  run(options: OptionReader, io: CliIo): Promise<ExitCode>;
}

/** Commands by name. */
export type CommandTable = Readonly<Record<string, CommandSpec>>;

const DEFAULT_CALL_TIMEOUT_S = 5;
const MS_PER_S = 1000;

const JSON_ARG: ArgsDef = {
  json: {type: 'boolean', description: 'Print JSON'},
};

const ENTRY_ARGS: ArgsDef = {
  ...JSON_ARG,
  entry: {
    type: 'string',
    valueHint: 'url',
    description: 'Entry to talk to; may be repeated (ANVILRUDDER_ENTRIES)',
  },
  'token-file': {
    type: 'string',
    valueHint: 'file',
    description: 'File with the operator token (ANVILRUDDER_TOKEN)',
  },
  'ca-file': {
    type: 'string',
    valueHint: 'file',
    description: 'Authorities of the entries, PEM (ANVILRUDDER_CA_FILE)',
  },
  'timeout-s': {
    type: 'string',
    valueHint: 'seconds',
    description: 'Longest wait for an answer',
  },
  progress: {
    type: 'boolean',
    description: 'Show progress without a terminal',
  },
};

const FILE_ARG: ArgsDef = {
  file: {type: 'positional', description: 'Rule file', required: true},
};

/** Commands below `rules`. */
export const RULES_COMMANDS: CommandTable = {
  check: {
    description: 'Check a rule file without any entry',
    args: {...FILE_ARG, ...JSON_ARG},
    run: (options, io) =>
      runRulesCheck(
        {file: options.readRequired('file'), isJson: options.readFlag('json')},
        io,
      ),
  },
  apply: {
    description: 'Put a rule file in force everywhere, or refuse it',
    args: {
      ...FILE_ARG,
      ...ENTRY_ARGS,
      why: {type: 'string', description: 'Reason, for the audit trail'},
      who: {type: 'string', description: 'Your name as the token has it'},
      without: {
        type: 'string',
        valueHint: 'host',
        description: 'Host you vouch is stopped or fenced; may be repeated',
      },
      base: {
        type: 'string',
        valueHint: 'revision',
        description: 'Revision you edited, or latest',
      },
      'change-id': {
        type: 'string',
        valueHint: 'id',
        description: 'Id of an earlier try; its outcome is repeated',
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
        await connect(options, io, SILENT_PROGRESS),
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
        await connect(options, io),
        io,
      ),
  },
  status: {
    description: 'Print what each entry has in force',
    args: ENTRY_ARGS,
    run: async (options, io) =>
      runRulesStatus(
        {isJson: options.readFlag('json')},
        await connect(options, io),
        io,
      ),
  },
  show: {
    description: 'Print the rule file in force',
    args: {
      ...ENTRY_ARGS,
      revision: {type: 'boolean', description: 'Print the revision alone'},
    },
    run: async (options, io) =>
      runRulesShow(
        {
          isRevisionOnly: options.readFlag('revision'),
          isJson: options.readFlag('json'),
        },
        await connect(options, io),
        io,
      ),
  },
  diff: {
    description: 'Compare a rule file with the rules in force',
    args: {...FILE_ARG, ...ENTRY_ARGS},
    run: async (options, io) =>
      runRulesDiff(
        {file: options.readRequired('file'), isJson: options.readFlag('json')},
        await connect(options, io),
        io,
      ),
  },
};

/** Commands at the top level. */
export const TOP_COMMANDS: CommandTable = {
  audit: {
    description: 'Print the audit trail',
    args: {
      ...ENTRY_ARGS,
      who: {type: 'string', description: 'Only changes of this operator'},
      action: {type: 'string', description: 'Only records of this action'},
      after: {
        type: 'string',
        valueHint: 'sequence',
        description: 'Only records after this sequence number',
      },
      limit: {
        type: 'string',
        valueHint: 'count',
        description: `Most records of one listing (default ${DEFAULT_AUDIT_LIMIT})`,
      },
      follow: {type: 'boolean', description: 'Wait for further records'},
    },
    run: async (options, io) =>
      runAudit(
        {
          who: options.readText('who') ?? '',
          action: options.readText('action') ?? '',
          afterSequence: BigInt(options.readInteger('after', 0, 0)),
          limit: options.readInteger('limit', 1, DEFAULT_AUDIT_LIMIT),
          isFollowing: options.readFlag('follow'),
          isJson: options.readFlag('json'),
          pollIntervalMs: AUDIT_POLL_INTERVAL_MS,
        },
        await connect(options, io),
        io,
      ),
  },
  explain: {
    description: 'Explain which version a request gets, and by which rules',
    args: {
      ...ENTRY_ARGS,
      organisation: {type: 'string', description: 'Organisation that asks'},
      kind: {type: 'string', description: 'Kind of request'},
      file: {type: 'string', description: 'Explain this file, not an entry'},
    },
    run: async (options, io) => {
      const request = {
        organisation: options.readRequired('organisation'),
        kind: options.readRequired('kind'),
        isJson: options.readFlag('json'),
      };
      const file = options.readText('file');
      return file === undefined
        ? runExplain(request, await connect(options, io), io)
        : runExplainFile(request, file, io);
    },
  },
};

async function connect(
  options: OptionReader,
  io: CliIo,
  progress = createProgress(io, options.readFlag('progress')),
): Promise<readonly EntryClient[]> {
  const settings = await resolveClientSettings(
    {
      entryUrls: options.readList('entry'),
      tokenFile: options.readText('token-file'),
      caFile: options.readText('ca-file'),
    },
    io,
  );
  const defaultMs = DEFAULT_CALL_TIMEOUT_S * MS_PER_S;
  return createEntryClients(
    settings,
    readTimeoutMs(options, defaultMs),
    progress,
  );
}

function readTimeoutMs(options: OptionReader, defaultMs: number): number {
  const defaultS = defaultMs / MS_PER_S;
  return options.readInteger('timeout-s', 1, defaultS) * MS_PER_S;
}
