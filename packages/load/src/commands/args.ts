import type {ArrivalProcess} from '../arrivals/arrivals.js';
import {
  DEFAULT_LOAD_OPTIONS,
  findOptionFaults,
  type KindWeight,
  type LoadOptions,
} from '../run/load_options.js';
import {createLoadOptionError} from '../run/option_error.js';

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
    DEFAULTS.callerKeys.join(','),
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

/** Reads arguments and collects what is wrong with them. */
class ArgReader {
  readonly faults: string[] = [];

  constructor(private readonly args: LoadArgs) {}

  number(name: Exclude<keyof LoadArgs, 'json'>): number {
    return this.parseNumber(name, this.args[name]);
  }

  arrivals(): ArrivalProcess {
    const text = this.args.arrivals;
    const process = ARRIVAL_PROCESSES.find(name => name === text);
    if (process !== undefined) return process;
    this.faults.push(`--arrivals: expected poisson or constant, got "${text}"`);
    return 'poisson';
  }

  kinds(): readonly KindWeight[] {
    return parseList(this.args.kinds).map(item => {
      const [kind, weight = '1'] = item.split('=');
      return {kind, weight: this.parseNumber('kinds', weight)};
    });
  }

  private parseNumber(name: string, text: string): number {
    const value = Number(text);
    if (text.trim() !== '' && Number.isFinite(value)) return value;
    this.faults.push(`--${name}: expected a number, got "${text}"`);
    return 1;
  }
}

/**
 * Turns arguments into the options of a run.
 *
 * @throws LoadOptionError listing every malformed argument.
 */
export function resolveLoadOptions(
  args: LoadArgs,
  targets: readonly string[],
  isDirect: boolean,
): LoadOptions {
  const reader = new ArgReader(args);
  const options: LoadOptions = {
    targets,
    isDirect,
    ratePerS: reader.number('rate'),
    durationMs: reader.number('duration-ms'),
    arrivals: reader.arrivals(),
    seed: reader.number('seed'),
    kinds: reader.kinds(),
    callerKeys: parseList(args['api-keys']),
    maxTokens: reader.number('max-tokens'),
    promptCharacters: reader.number('prompt-characters'),
    sessionShare: reader.number('session-share'),
    confirmShare: reader.number('confirm-share'),
    repeatShare: reader.number('repeat-share'),
    service: args.service,
    model: args.model,
    version: args.version,
    timeoutMs: reader.number('timeout-ms'),
    maxInFlight: reader.number('max-in-flight'),
    bookingAddress: args.booking === '' ? undefined : args.booking,
  };
  const faults = [...reader.faults, ...findOptionFaults(options)];
  if (faults.length > 0) throw createLoadOptionError(faults);
  return options;
}
