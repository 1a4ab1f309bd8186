import type {ArrivalProcess} from '../arrivals/arrivals.js';

/** Weight of one kind in the mix. */
export interface KindWeight {
  readonly kind: string;
  readonly weight: number;
}

/** What a load run sends, and for how long. */
export interface LoadOptions {
  /** `http://127.x.y.z:port` of the entries or engines, used in turn. */
  readonly targets: readonly string[];
  /** Calls the protocol of engines instead of that of entries. */
  readonly isDirect: boolean;
  readonly ratePerS: number;
  readonly durationMs: number;
  readonly arrivals: ArrivalProcess;
  readonly seed: number;
  readonly kinds: readonly KindWeight[];
  /** API keys, one per organisation. */
  readonly callerKeys: readonly string[];
  readonly maxTokens: number;
  /** Characters of a prompt; its first half is the same for all of a kind. */
  readonly promptCharacters: number;
  /** Share of requests that go on with a session, where one is open. */
  readonly sessionShare: number;
  /** Share of arrivals that are calls of `service`. */
  readonly confirmShare: number;
  /** Share of those calls that are sent a second time with the same key. */
  readonly repeatShare: number;
  readonly service: string;
  /** Model and version of direct requests. */
  readonly model: string;
  readonly version: string;
  readonly timeoutMs: number;
  /** Arrivals beyond this many open requests are counted and not sent. */
  readonly maxInFlight: number;
  /** Address of a booking stand-in whose executions are checked at the end. */
  readonly bookingAddress: string | undefined;
}

/** A run without extras; the defaults of the command line. */
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
    message: 'at least one target is needed',
    isMet: options => options.targets.length > 0,
  },
  {
    message: 'targets must be http:// URLs of loopback IP numbers',
    isMet: options =>
      options.targets.every(isLoopbackUrl) &&
      (options.bookingAddress === undefined ||
        isLoopbackUrl(`http://${options.bookingAddress}`)),
  },
  {
    message: 'the rate must be above 0',
    isMet: options => options.ratePerS > 0,
  },
  {
    message: `the duration must be above 0 and at most ${MAX_DURATION_MS} ms`,
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
    message: 'the mix needs kinds of weight above 0',
    isMet: ({kinds}) =>
      kinds.length > 0 && kinds.every(({weight}) => weight > 0),
  },
  {
    message: 'at least one API key is needed',
    isMet: options => options.callerKeys.length > 0,
  },
  {
    message: 'engines take no service calls',
    isMet: ({isDirect, confirmShare}) => !isDirect || confirmShare === 0,
  },
];

function isLoopbackUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const {protocol, hostname} = new URL(text);
  return protocol === 'http:' && LOOPBACK_HOST.test(hostname);
}

/**
 * Lists what is wrong with the options; empty when a run may start.
 *
 * @example
 * ```ts
 * findOptionFaults({...DEFAULT_LOAD_OPTIONS, targets: ['http://10.0.0.1']});
 * ```
 */
export function findOptionFaults(options: LoadOptions): readonly string[] {
  return OPTION_RULES.filter(rule => !rule.isMet(options)).map(
    rule => rule.message,
  );
}
