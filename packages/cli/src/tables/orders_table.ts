import {
  runOrdersCancel,
  runOrdersPlan,
  runOrdersStatus,
} from '../commands/orders.js';
import {ENTRY_ARGS, connect, type CommandTable} from './command_spec.js';

/** Commands below `orders`. */
export const ORDER_COMMANDS: CommandTable = {
  plan: {
    description: 'Order engines to load versions or to drain',
    args: {
      ...ENTRY_ARGS,
      engine: {
        type: 'string',
        valueHint: 'host',
        description: 'Engine to order; may be repeated',
      },
      load: {
        type: 'string',
        valueHint: 'model@version',
        description: 'Version that it is to have loaded; may be repeated',
      },
      drain: {type: 'boolean', description: 'It takes no new work'},
      why: {type: 'string', description: 'Reason, for the audit trail'},
      id: {type: 'string', description: 'Id of an earlier try'},
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
        await connect(options, io),
        io,
      ),
  },
  status: {
    description: 'Print how far the current plan is',
    args: ENTRY_ARGS,
    run: async (options, io) =>
      runOrdersStatus(
        {isJson: options.readFlag('json')},
        await connect(options, io),
        io,
      ),
  },
  cancel: {
    description: 'Cancel the orders of a plan that are not applied',
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
        await connect(options, io),
        io,
      ),
  },
};
