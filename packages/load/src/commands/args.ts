import type {ArrivalProcess} from '../arrivals/arrivals.js';
import {
  DEFAULT_LOAD_OPTIONS,
  findOptionIssues,
  type KindWeight,
  type LoadOptions,
} from '../run/load_options.js';
import {createLoadOptionError} from '../run/option_error.js';

const ARRIVAL_PROCESSES: readonly ArrivalProcess[] = ['poisson', 'constant'];

function createNumberArg(value: number, description: string) {
  return {type: 'string', default: String(value), description} as const;
}

function createStringArg(value: string, description: string) {
  return {type: 'string', default: value, description} as const;
}

const DEFAULTS = DEFAULT_LOAD_OPTIONS;

/** Command-line arguments that describe a load, for targets of any type. */
export const LOAD_ARGS = {
  rate: createNumberArg(
    DEFAULTS.ratePerS,
    'mean number of requests per second',
  ),
  'duration-ms': createNumberArg(
    DEFAULTS.durationMs,
    'time during which requests are sent',
  ),
  arrivals: createStringArg(
    DEFAULTS.arrivals,
    'distribution of send times: poisson or constant',
  ),
  seed: createNumberArg(DEFAULTS.seed, 'seed of the random numbers'),
  kinds: createStringArg('icebreaker=1', 'request kinds as kind=weight,…'),
  'api-keys': createStringArg(
    DEFAULTS.callerKeys.join(','),
    'API keys, one per organisation',
  ),
  'max-tokens': createNumberArg(DEFAULTS.maxTokens, 'tokens per response'),
  'prompt-characters': createNumberArg(
    DEFAULTS.promptCharacters,
    'characters per prompt',
  ),
  'session-share': createNumberArg(
    DEFAULTS.sessionShare,
    'share of requests that continue a session',
  ),
  'confirm-share': createNumberArg(
    DEFAULTS.confirmShare,
    'share of arrivals that are service calls',
  ),
  'repeat-share': createNumberArg(
    DEFAULTS.repeatShare,
    'share of service calls that are sent twice with the same key',
  ),
  service: createStringArg(DEFAULTS.service, 'name of the service to call'),
  model: createStringArg(DEFAULTS.model, 'model of direct requests'),
  version: createStringArg(DEFAULTS.version, 'version of direct requests'),
  'timeout-ms': createNumberArg(DEFAULTS.timeoutMs, 'request timeout'),
  'max-in-flight': createNumberArg(
    DEFAULTS.maxInFlight,
    'maximum number of requests in flight; arrivals above it are counted as skipped',
  ),
  booking: createStringArg(
    '',
    'ip:port of a booking stand-in to compare the outcomes with',
  ),
  report: createStringArg('', 'directory for report.json and plots'),
  json: {
    type: 'boolean',
    default: false,
    description: 'print the report as JSON',
  },
} as const;

/** Parsed but not yet validated values of {@link LOAD_ARGS}. */
export type LoadArgs = Readonly<
  Record<Exclude<keyof typeof LOAD_ARGS, 'json'>, string>
> & {readonly json: boolean};

/** Splits a comma-separated list and drops empty items. */
export function parseList(text: string): readonly string[] {
  return text.split(',').filter(item => item !== '');
}

/** Parses arguments and collects the error messages of malformed ones. */
class ArgReader {
  readonly issues: string[] = [];

  constructor(private readonly args: LoadArgs) {}

  number(name: Exclude<keyof LoadArgs, 'json'>): number {
    return this.parseNumber(name, this.args[name]);
  }

  arrivals(): ArrivalProcess {
    const text = this.args.arrivals;
    const process = ARRIVAL_PROCESSES.find(name => name === text);
    if (process !== undefined) return process;
    this.issues.push(`--arrivals: expected poisson or constant, got "${text}"`);
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
    this.issues.push(`--${name}: expected a number, got "${text}"`);
    return 1;
  }
}

/**
 * Converts command-line arguments to the options of a run.
 *
 * @throws LoadOptionError listing every malformed or invalid argument.
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
  const issues = [...reader.issues, ...findOptionIssues(options)];
  if (issues.length > 0) throw createLoadOptionError(issues);
  return options;
}
