import type {ArrivalProcess} from '../arrivals/arrivals.js';
import {
  DEFAULT_LOAD_OPTIONS,
  type KindShare,
  type LoadOptions,
} from '../run/load_options.js';

const ARRIVAL_PROCESSES: readonly ArrivalProcess[] = ['poisson', 'constant'];

function createNumberArg(value: number, description: string) {
  return {type: 'string', default: String(value), description} as const;
}

function createTextArg(value: string, description: string) {
  return {type: 'string', default: value, description} as const;
}

const DEFAULTS = DEFAULT_LOAD_OPTIONS;

/** Arguments that describe a load, whatever it is sent to. */
export const LOAD_ARGS = {
  rate: createNumberArg(DEFAULTS.ratePerS, 'requests a second'),
  'duration-ms': createNumberArg(DEFAULTS.durationMs, 'time of arrivals'),
  arrivals: createTextArg(DEFAULTS.arrivals, 'poisson or constant'),
  seed: createNumberArg(DEFAULTS.seed, 'seed of all draws'),
  kinds: createTextArg('icebreaker=1', 'mix as kind=weight,…'),
  'api-keys': createTextArg(
    DEFAULTS.apiKeys.join(','),
    'API keys, one per organisation',
  ),
  'max-tokens': createNumberArg(DEFAULTS.maxTokens, 'tokens of an answer'),
  'prompt-characters': createNumberArg(
    DEFAULTS.promptCharacters,
    'characters of a prompt',
  ),
  'session-share': createNumberArg(
    DEFAULTS.sessionShare,
    'share of requests that go on with a session',
  ),
  'confirm-share': createNumberArg(
    DEFAULTS.confirmShare,
    'share of arrivals that call the service',
  ),
  'repeat-share': createNumberArg(
    DEFAULTS.repeatShare,
    'share of service calls sent twice with one key',
  ),
  service: createTextArg(DEFAULTS.service, 'service that is called'),
  model: createTextArg(DEFAULTS.model, 'model of direct requests'),
  version: createTextArg(DEFAULTS.version, 'version of direct requests'),
  'timeout-ms': createNumberArg(DEFAULTS.timeoutMs, 'time of a request'),
  'max-in-flight': createNumberArg(
    DEFAULTS.maxInFlight,
    'open requests at most; further arrivals are counted and skipped',
  ),
  booking: createTextArg('', 'ip:port of a booking stand-in to check against'),
  report: createTextArg('', 'folder for report.json and plots'),
  json: {type: 'boolean', default: false, description: 'print JSON'},
} as const;

/** Values of {@link LOAD_ARGS} as the command line gives them. */
export type LoadArgs = Readonly<
  Record<Exclude<keyof typeof LOAD_ARGS, 'json'>, string>
> & {readonly json: boolean};

/** Splits a list at commas. */
export function parseList(text: string): readonly string[] {
  return text.split(',').filter(item => item !== '');
}

function parseNumber(name: string, text: string): number {
  const value = Number(text);
  if (text.trim() !== '' && Number.isFinite(value)) return value;
  throw new Error(`--${name}: expected a number, got "${text}"`);
}

function parseArrivals(text: string): ArrivalProcess {
  const process = ARRIVAL_PROCESSES.find(name => name === text);
  if (process !== undefined) return process;
  throw new Error(`--arrivals: expected poisson or constant, got "${text}"`);
}

function parseKind(text: string): KindShare {
  const [kind, weight = '1'] = text.split('=');
  return {kind, weight: parseNumber('kinds', weight)};
}

/**
 * Turns arguments into the options of a run.
 *
 * @throws Error for a malformed number, list or name.
 */
export function resolveLoadOptions(
  args: LoadArgs,
  targets: readonly string[],
  isDirect: boolean,
): LoadOptions {
  const readNumber = (name: keyof typeof LOAD_ARGS & keyof LoadArgs) =>
    parseNumber(name, String(args[name]));
  return {
    targets,
    isDirect,
    ratePerS: readNumber('rate'),
    durationMs: readNumber('duration-ms'),
    arrivals: parseArrivals(args.arrivals),
    seed: readNumber('seed'),
    kinds: parseList(args.kinds).map(parseKind),
    apiKeys: parseList(args['api-keys']),
    maxTokens: readNumber('max-tokens'),
    promptCharacters: readNumber('prompt-characters'),
    sessionShare: readNumber('session-share'),
    confirmShare: readNumber('confirm-share'),
    repeatShare: readNumber('repeat-share'),
    service: args.service,
    model: args.model,
    version: args.version,
    timeoutMs: readNumber('timeout-ms'),
    maxInFlight: readNumber('max-in-flight'),
    bookingAddress: args.booking === '' ? undefined : args.booking,
  };
}
