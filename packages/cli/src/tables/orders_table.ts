import {
  runOrdersCancel,
  runOrdersPlan,
  runOrdersStatus,
} from '../commands/orders.js';
import {
  ENTRY_ARGS,
  createClientsFromOptions,
  type CommandTable,
} from './command_spec.js';

/** Subcommands of `orders`. */
export const ORDER_COMMANDS: CommandTable = {
  plan: {
    description: 'Order engines to load versions or to drain',
    args: {
      ...ENTRY_ARGS,
      engine: {
        type: 'string',
        valueHint: 'host',
        description: 'Host of an engine; may be repeated',
      },
      load: {
        type: 'string',
        valueHint: 'model@version',
        description:
          'Version that the engines must have loaded; may be repeated',
      },
      drain: {
        type: 'boolean',
        description: 'Drain the engines: they take no new requests',
      },
      why: {type: 'string', description: 'Reason, for the audit trail'},
      id: {
        type: 'string',
        description: 'Plan id of an earlier attempt to repeat',
      },
    },
    run: async (options, io) =>
      runOrdersPlan(
        {
          planId: options.readText('id'),
          engines: options.readList('engine'),
          loaded: options.readList('load'),
          isDraining: options.readFlag('drain'),
          why: options.readRequired('why'),
          isJson: options.readFlag('json'),
        },
        await createClientsFromOptions(options, io),
        io,
      ),
  },
  status: {
    description: 'Print the progress of the current plan',
    args: ENTRY_ARGS,
    run: async (options, io) =>
      runOrdersStatus(
        {isJson: options.readFlag('json')},
        await createClientsFromOptions(options, io),
        io,
      ),
  },
  cancel: {
    description: 'Cancel the orders of a plan that have not been applied',
    args: {
      id: {type: 'positional', description: 'Plan id', required: true},
      ...ENTRY_ARGS,
      why: {type: 'string', description: 'Reason, for the audit trail'},
    },
    run: async (options, io) =>
      runOrdersCancel(
        {
          planId: options.readRequired('id'),
          why: options.readRequired('why'),
          isJson: options.readFlag('json'),
        },
        await createClientsFromOptions(options, io),
        io,
      ),
  },
};
