import {
  AUDIT_POLL_INTERVAL_MS,
  DEFAULT_AUDIT_LIMIT,
  runAudit,
} from '../commands/audit.js';
import {runExplain, runExplainFile} from '../commands/explain.js';
import {runTrace} from '../commands/trace.js';
import {
  ENTRY_ARGS,
  JSON_ARG,
  createClientsFromOptions,
  type CommandTable,
} from './command_spec.js';

/** Commands that have no subcommands. */
export const TOP_LEVEL_COMMANDS: CommandTable = {
  audit: {
    description: 'Print the audit trail',
    args: {
      ...ENTRY_ARGS,
      who: {type: 'string', description: 'Only records of this operator'},
      action: {type: 'string', description: 'Only records of this action'},
      after: {
        type: 'string',
        valueHint: 'sequence',
        description: 'Only records after this sequence number',
      },
      limit: {
        type: 'string',
        valueHint: 'count',
        description: `Maximum number of records per request (default ${DEFAULT_AUDIT_LIMIT})`,
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
        await createClientsFromOptions(options, io),
        io,
      ),
  },
  explain: {
    description:
      'Explain which version a request gets, and which rules determine it',
    args: {
      ...ENTRY_ARGS,
      organisation: {
        type: 'string',
        description: 'Organisation that sends the request',
      },
      kind: {type: 'string', description: 'Kind of request'},
      file: {
        type: 'string',
        description: 'Use this rule file instead of the rules in force',
      },
    },
    run: async (options, io) => {
      const request = {
        organisation: options.readRequired('organisation'),
        kind: options.readRequired('kind'),
        isJson: options.readFlag('json'),
      };
      const file = options.readText('file');
      return file === undefined
        ? runExplain(request, await createClientsFromOptions(options, io), io)
        : runExplainFile(request, file, io);
    },
  },
  trace: {
    description: 'Print the lines of one request from several log files',
    args: {
      ...JSON_ARG,
      id: {type: 'positional', description: 'Request id', required: true},
      log: {
        type: 'string',
        valueHint: 'file',
        description: 'Log file of a process; may be repeated',
      },
    },
    run: async (options, io) =>
      runTrace(
        {
          requestId: options.readRequired('id'),
          logFiles: options.readList('log'),
          isJson: options.readFlag('json'),
        },
        io,
      ),
  },
};
