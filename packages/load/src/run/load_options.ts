import type {ArrivalProcess} from '../arrivals/arrivals.js';

/** A request kind and its relative frequency among generation requests. */
export interface KindWeight {
  readonly kind: string;
  readonly weight: number;
}

/** Options of a load run. */
export interface LoadOptions {
  /** `http://127.x.y.z:port` of entries or engines, used round-robin. */
  readonly targets: readonly string[];
  /** Whether the targets are engines, called with their own protocol. */
  readonly isDirect: boolean;
  /** Mean number of arrivals per second. */
  readonly ratePerS: number;
  /** Time during which requests are sent. */
  readonly durationMs: number;
  readonly arrivals: ArrivalProcess;
  readonly seed: number;
  readonly kinds: readonly KindWeight[];
  /** API keys, one per organisation. */
  readonly callerKeys: readonly string[];
  readonly maxTokens: number;
  /** Length of a prompt; all prompts of a kind share their first half. */
  readonly promptCharacters: number;
  /** Share of generation requests that continue an open session, if any. */
  readonly sessionShare: number;
  /** Share of arrivals that are confirmations, i.e. calls of `service`. */
  readonly confirmShare: number;
  /** Share of service calls that are sent twice with the same key. */
  readonly repeatShare: number;
  readonly service: string;
  /** Model and version of direct requests. */
  readonly model: string;
  readonly version: string;
  readonly timeoutMs: number;
  /**
   * Maximum number of arrivals being processed at a time. Further ones are not
   * sent but counted as skipped.
   */
  readonly maxInFlight: number;
  /** `ip:port` of a booking stand-in whose executions are checked at the end. */
  readonly bookingAddress: string | undefined;
}

/**
 * Defaults of the command line: generation requests only, without sessions. The
 * targets have no default.
 */
export const DEFAULT_LOAD_OPTIONS: LoadOptions = {
  targets: [],
  isDirect: false,
  ratePerS: 20,
  durationMs: 10_000,
  arrivals: 'poisson',
  seed: 1,
  kinds: [{kind: 'icebreaker', weight: 1}],
  callerKeys: ['key-penbridge'],
  maxTokens: 32,
  promptCharacters: 400,
  sessionShare: 0,
  confirmShare: 0,
  repeatShare: 0,
  service: 'booking',
  model: 'quick',
  version: 'v1',
  timeoutMs: 30_000,
  maxInFlight: 2000,
  bookingAddress: undefined,
};

const MAX_REQUESTS = 1_000_000;
const MAX_DURATION_MS = 3_600_000;
const MS_PER_S = 1000;
const LOOPBACK_HOST = /^127\.\d{1,3}\.\d{1,3}\.\d{1,3}$/;

interface OptionRule {
  readonly message: string;
  isMet(options: LoadOptions): boolean;
}

const isShare = (value: number) => value >= 0 && value <= 1;

const OPTION_RULES: readonly OptionRule[] = [
  {
    message: 'at least one target is required',
    isMet: options => options.targets.length > 0,
  },
  {
    message:
      'targets must be http:// URLs; all addresses must be IPv4 loopback addresses',
    isMet: options =>
      options.targets.every(isLoopbackUrl) &&
      (options.bookingAddress === undefined ||
        isLoopbackUrl(`http://${options.bookingAddress}`)),
  },
  {
    message: 'the rate must be greater than 0',
    isMet: options => options.ratePerS > 0,
  },
  {
    message: `the duration must be greater than 0 and at most ${MAX_DURATION_MS} ms`,
    isMet: ({durationMs}) => durationMs > 0 && durationMs <= MAX_DURATION_MS,
  },
  {
    message: `rate times duration must be at most ${MAX_REQUESTS} requests`,
    isMet: ({ratePerS, durationMs}) =>
      (ratePerS * durationMs) / MS_PER_S <= MAX_REQUESTS,
  },
  {
    message: 'shares must be between 0 and 1',
    isMet: ({sessionShare, confirmShare, repeatShare}) =>
      [sessionShare, confirmShare, repeatShare].every(isShare),
  },
  {
    message:
      'at least one kind is required, and weights must be greater than 0',
    isMet: ({kinds}) =>
      kinds.length > 0 && kinds.every(({weight}) => weight > 0),
  },
  {
    message: 'at least one API key is required',
    isMet: options => options.callerKeys.length > 0,
  },
  {
    message: 'engines do not support service calls',
    isMet: ({isDirect, confirmShare}) => !isDirect || confirmShare === 0,
  },
];

function isLoopbackUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const {protocol, hostname} = new URL(text);
  return protocol === 'http:' && LOOPBACK_HOST.test(hostname);
}

/**
 * Validates the options and returns a message for each violated rule; empty
 * when they are valid.
 *
 * @example
 * ```ts
 * findOptionIssues({...DEFAULT_LOAD_OPTIONS, targets: ['http://10.0.0.1']});
 * ```
 */
export function findOptionIssues(options: LoadOptions): readonly string[] {
  return OPTION_RULES.filter(rule => !rule.isMet(options)).map(
    rule => rule.message,
  );
}
