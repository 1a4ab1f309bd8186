import {defineCommand} from 'citty';
import {startBookingStandIn} from '../booking/booking_stand_in.js';
import {startEngineStandIn} from '../engine/engine_stand_in.js';
import {startHostListStandIn} from '../hosts/host_list_stand_in.js';
import {startObjectStandIn} from '../objects/object_stand_in.js';
import {startRatingStandIn} from '../rating/rating_stand_in.js';
import {startWeightStandIn} from '../weights/weight_stand_in.js';
import {parseModels, parseNumber, parseQualityTable} from './parse_args.js';
import {LISTEN_ARGS, runStandIn} from './run_stand_in.js';

function createNumberArg(defaultValue: number, description: string) {
  return {type: 'string', default: String(defaultValue), description} as const;
}

const objects = defineCommand({
  meta: {name: 'objects', description: 'Versioned object API'},
  args: {
    ...LISTEN_ARGS,
    'history-limit': createNumberArg(
      10_000,
      'changes kept in the history for watches',
    ),
  },
  run: ({args}) =>
    runStandIn(
      startObjectStandIn({
        host: args.host,
        port: parseNumber(args.port),
        historyLimit: parseNumber(args['history-limit']),
      }),
    ),
});

const hosts = defineCommand({
  meta: {name: 'hosts', description: 'Host list with live and leaving hosts'},
  args: {
    ...LISTEN_ARGS,
    'lag-ms': createNumberArg(0, 'delay until a change is visible'),
  },
  run: ({args}) =>
    runStandIn(
      startHostListStandIn({
        host: args.host,
        port: parseNumber(args.port),
        lagMs: parseNumber(args['lag-ms']),
      }),
    ),
});

const engine = defineCommand({
  meta: {name: 'engine', description: 'Model engine'},
  args: {
    ...LISTEN_ARGS,
    slots: createNumberArg(8, 'concurrent requests'),
    'queue-limit': createNumberArg(64, 'maximum number of waiting requests'),
    'token-delay-ms': createNumberArg(0, 'time between two tokens'),
    'prefill-delay-ms': createNumberArg(
      0,
      'prefill time of an uncached prompt',
    ),
    loaded: {type: 'string', default: '', description: 'model@version,…'},
    'model-load-ms': createNumberArg(0, 'time to load a model after an order'),
    'ignore-fencing': {
      type: 'boolean',
      default: false,
      description: 'apply orders with an old fencing number too',
    },
    'load-lag-ms': createNumberArg(0, 'refresh interval of the load report'),
    'cache-entries': createNumberArg(
      1024,
      'prefix blocks that the cache holds',
    ),
    'cache-event-lag-ms': createNumberArg(
      0,
      'delay until a cache event is visible',
    ),
    'cache-event-loss-every': createNumberArg(
      0,
      'lose every n-th cache event; 0: none',
    ),
    confidence: {
      type: 'string',
      default: '',
      description: 'mean confidence reported, model@version=0.8,…',
    },
  },
  run: ({args}) =>
    runStandIn(
      startEngineStandIn({
        host: args.host,
        port: parseNumber(args.port),
        slots: parseNumber(args.slots),
        queueLimit: parseNumber(args['queue-limit']),
        tokenDelayMs: parseNumber(args['token-delay-ms']),
        prefillDelayMs: parseNumber(args['prefill-delay-ms']),
        loaded: parseModels(args.loaded),
        modelLoadMs: parseNumber(args['model-load-ms']),
        ignoreFencing: args['ignore-fencing'],
        loadLagMs: parseNumber(args['load-lag-ms']),
        cacheEntries: parseNumber(args['cache-entries']),
        cacheEventLagMs: parseNumber(args['cache-event-lag-ms']),
        cacheEventLossEvery: parseNumber(args['cache-event-loss-every']),
        confidence: parseQualityTable(args.confidence),
      }),
    ),
});

const booking = defineCommand({
  meta: {name: 'booking', description: 'Booking service'},
  args: {...LISTEN_ARGS, 'delay-ms': createNumberArg(0, 'time to respond')},
  run: ({args}) =>
    runStandIn(
      startBookingStandIn({
        host: args.host,
        port: parseNumber(args.port),
        delayMs: parseNumber(args['delay-ms']),
      }),
    ),
});

const rating = defineCommand({
  meta: {name: 'rating', description: 'Service that rates model answers'},
  args: {
    ...LISTEN_ARGS,
    'rate-per-s': createNumberArg(50, 'answers accepted per second'),
    quality: {
      type: 'string',
      default: '',
      description: 'mean score, model@version=0.8,…',
    },
    'lag-ms': createNumberArg(0, 'delay until a rating is visible'),
    loss: createNumberArg(0, 'share of accepted answers never rated'),
  },
  run: ({args}) =>
    runStandIn(
      startRatingStandIn({
        host: args.host,
        port: parseNumber(args.port),
        ratePerS: parseNumber(args['rate-per-s']),
        quality: parseQualityTable(args.quality),
        lagMs: parseNumber(args['lag-ms']),
        loss: parseNumber(args.loss),
      }),
    ),
});

const weights = defineCommand({
  meta: {name: 'weights', description: 'Store of model weights'},
  args: {
    ...LISTEN_ARGS,
    'size-bytes': createNumberArg(1024 * 1024, 'size of a model version'),
    'bytes-per-s': createNumberArg(16 * 1024 * 1024, 'rate of one transfer'),
    'concurrent-transfers': createNumberArg(2, 'concurrent transfers'),
  },
  run: ({args}) =>
    runStandIn(
      startWeightStandIn({
        host: args.host,
        port: parseNumber(args.port),
        sizeBytes: parseNumber(args['size-bytes']),
        bytesPerS: parseNumber(args['bytes-per-s']),
        concurrentTransfers: parseNumber(args['concurrent-transfers']),
      }),
    ),
});

/** The command `anvilrudder-stand-in`, with one subcommand per stand-in. */
export const standInCommand = defineCommand({
  meta: {
    name: 'anvilrudder-stand-in',
    description: 'Emulate a backend or a platform service',
  },
  subCommands: {objects, hosts, engine, booking, rating, weights},
});
