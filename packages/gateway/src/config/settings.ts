import {
  DEFAULT_LOAD_ADMISSION,
  URGENCY_POLICIES,
  type Finding,
  type LoadAdmissionOptions,
  type UrgencyPolicy,
} from '@anvilrudder/core';
import {
  isMap,
  isNode,
  isScalar,
  LineCounter,
  parseDocument,
  type Document,
} from 'yaml';

/** An address to listen on. */
export interface ListenAddress {
  readonly address: string;
  readonly port: number;
}

/** What the machine gives to the process. */
export interface ResourceSettings {
  /** Memory of the machine, in units of 10^6 bytes. */
  readonly memoryMb: number;
  /** Maximum number of open descriptors. */
  readonly maxFds: number;
}

/** The settings of one gateway process. */
export interface GatewaySettings {
  readonly host: string;
  readonly failureDomain: string;
  readonly listen: {
    readonly callers: ListenAddress;
    readonly readiness: ListenAddress;
    readonly metrics: ListenAddress;
    /** Receives datagrams and relayed requests from the other hosts. */
    readonly hosts: ListenAddress;
  };
  /** `ip:port` of the object store. */
  readonly storeAddress: string;
  /** Interval between two heartbeats of a backend server. */
  readonly heartbeatMs: number;
  /** Time within which a graceful shutdown must complete. */
  readonly stopGraceMs: number;
  readonly repeats: {
    readonly ratio: number;
    readonly extra: number;
    readonly windowMs: number;
  };
  readonly rollouts: {
    /** Share of a service's requests that an unverified version may receive. */
    readonly exposureShare: number;
    readonly exposureSlack: number;
    /** Maximum time between two requests of a session that share a version. */
    readonly sessionMs: number;
  };
  readonly scheduling: SchedulingSettings;
  /** Bounds of what cold servers get; undefined without slow start. */
  readonly slowStart?: {
    /** Factor on the requests a second that a cold server tolerates. */
    readonly overage: number;
    /** Requests beyond that in any second. */
    readonly extra: number;
  };
  /** Region of each failure domain; undefined if requests have no home regions. */
  readonly regions?: Readonly<Record<string, string>>;
  /** Undefined if operators do not evacuate failure domains. */
  readonly evacuations?: {
    /** Time from an operator's write to the last send there. */
    readonly applyWithinMs: number;
  };
  /** Undefined if memory and descriptors are not bounded. */
  readonly resources?: ResourceSettings;
}

/** How requests are placed and ordered at backend servers. */
export interface SchedulingSettings {
  /** Rule by which engines are told the urgency of requests. */
  readonly urgency: UrgencyPolicy;
  /** Undefined if no request is rejected because of load. */
  readonly admission?: LoadAdmissionOptions;
  /** Whether hosts learn the pace of each server and tell each other. */
  readonly serverPace: boolean;
  /** Servers compared for a request, chosen at random; all if 0. */
  readonly sampledServers: number;
}

/** Scheduling without optional features; applies to fields that are missing. */
export const DEFAULT_SCHEDULING: SchedulingSettings = {
  urgency: 'byLength',
  serverPace: false,
  sampledServers: 0,
};

/** Lower ones leave no memory, or no descriptor, for a request. */
const MIN_MEMORY_MB = 150;
const MIN_FDS = 264;

/** Result of parsing a settings file. */
export interface ParsedGatewaySettings {
  /** Undefined if there is any error among the findings. */
  readonly settings: GatewaySettings | undefined;
  readonly findings: readonly Finding[];
}

type FieldPath = readonly string[];

const MS_BY_UNIT: Readonly<Record<string, number>> = {ms: 1, s: 1000};

/** Returns undefined for a text that is no duration. */
function parseDurationMs(text: string): number | undefined {
  const match = /^(\d+(?:\.\d+)?)(ms|s)$/.exec(text);
  return match === null ? undefined : Number(match[1]) * MS_BY_UNIT[match[2]];
}

/** Reads and validates fields, and collects a finding for each invalid one. */
class FieldReader {
  readonly findings: Finding[] = [];

  constructor(
    private readonly document: Document,
    private readonly lines: LineCounter,
  ) {}

  has(path: FieldPath): boolean {
    return this.document.hasIn(path);
  }

  readString(path: FieldPath): string {
    const value: unknown = this.document.getIn(path);
    if (typeof value === 'string' && value !== '') return value;
    this.report(path, 'must be a non-empty string');
    return '';
  }

  /** Reads a map of names to non-empty strings. */
  readStrings(path: FieldPath): Readonly<Record<string, string>> {
    const node: unknown = this.document.getIn(path);
    if (!isMap(node)) {
      this.report(path, 'must be a map of names to strings');
      return {};
    }
    const names = node.items.map(({key}) =>
      String(isScalar(key) ? key.value : key),
    );
    return Object.fromEntries(
      names.map(name => [name, this.readString([...path, name])]),
    );
  }

  readNumber(path: FieldPath, minimum: number): number {
    const value: unknown = this.document.getIn(path);
    if (typeof value === 'number' && value >= minimum) return value;
    this.report(path, `must be a number of at least ${minimum}`);
    return minimum;
  }

  /** Reads a number of milliseconds, or a text with its unit. */
  readDurationMs(path: FieldPath, minimumMs: number): number {
    const value: unknown = this.document.getIn(path);
    const durationMs =
      typeof value === 'string' ? parseDurationMs(value) : value;
    if (typeof durationMs === 'number' && durationMs >= minimumMs)
      return durationMs;
    this.report(
      path,
      `must be a duration of at least ${minimumMs} ms, such as 1500 or 1.5s`,
    );
    return minimumMs;
  }

  readAddress(path: FieldPath): ListenAddress {
    const match = /^([0-9.]+):(\d{1,5})$/.exec(this.readString(path));
    const port = Number(match?.[2] ?? NaN);
    if (match !== null && port < 65_536) return {address: match[1], port};
    this.report(path, 'must be an IPv4 address and port such as 10.0.0.1:80');
    return {address: '', port: 0};
  }

  /** Reads one of the keys of a lookup table; a missing field has a default. */
  readChoice<Name extends string>(
    path: FieldPath,
    choices: Readonly<Record<Name, unknown>>,
    defaultName: Name,
  ): Name {
    const value: unknown = this.document.getIn(path);
    if (value === undefined) return defaultName;
    const names = Object.keys(choices) as Name[];
    const name = names.find(choice => choice === value);
    if (name !== undefined) return name;
    this.report(path, `must be one of ${names.join(', ')}`);
    return defaultName;
  }

  readBoolean(path: FieldPath, defaultValue: boolean): boolean {
    const value: unknown = this.document.getIn(path);
    if (value === undefined) return defaultValue;
    if (typeof value === 'boolean') return value;
    this.report(path, 'must be true or false');
    return defaultValue;
  }

  readOptionalInteger(path: FieldPath, defaultValue: number): number {
    const value: unknown = this.document.getIn(path);
    if (value === undefined) return defaultValue;
    if (Number.isSafeInteger(value) && (value as number) >= 0)
      return value as number;
    this.report(path, 'must be an integer of at least 0');
    return defaultValue;
  }

  private report(path: FieldPath, problem: string): void {
    const name = path.join('.');
    if (this.findings.some(({message}) => message.startsWith(`${name} `))) {
      return;
    }
    this.findings.push({
      position: this.findPlace(path),
      severity: 'error',
      code: 'invalid_field',
      message: `${name} ${problem}`,
    });
  }

  // Finds the position of the field or, if missing, of its closest parent.
  private findPlace(path: FieldPath): Finding['position'] {
    for (let length = path.length; length > 0; length -= 1) {
      const node = this.document.getIn(path.slice(0, length), true);
      if (!isNode(node) || !node.range) continue;
      const {line, col} = this.lines.linePos(node.range[0]);
      return {line: Math.max(1, line), column: Math.max(1, col)};
    }
    return {line: 1, column: 1};
  }
}

/**
 * Parses and validates a settings file. All findings are reported together,
 * each with its line and column; unknown fields are ignored.
 *
 * @example
 * ```ts
 * const {settings, findings} = parseGatewaySettings(text);
 * ```
 */
export function parseGatewaySettings(text: string): ParsedGatewaySettings {
  const lines = new LineCounter();
  const document = parseDocument(text, {lineCounter: lines});
  if (document.errors.length > 0) {
    const findings = document.errors.map(error => {
      const {line, col} = lines.linePos(error.pos[0]);
      return {
        position: {line: Math.max(1, line), column: Math.max(1, col)},
        severity: 'error' as const,
        code: 'invalid_yaml',
        message: error.message.split('\n')[0],
      };
    });
    return {settings: undefined, findings};
  }
  const reader = new FieldReader(document as Document, lines);
  const settings = readSettings(reader);
  const {findings} = reader;
  return {settings: findings.length === 0 ? settings : undefined, findings};
}

function readSettings(reader: FieldReader): GatewaySettings {
  return {
    host: reader.readString(['host']),
    failureDomain: reader.readString(['failureDomain']),
    listen: {
      callers: reader.readAddress(['listen', 'callers']),
      readiness: reader.readAddress(['listen', 'readiness']),
      metrics: reader.readAddress(['listen', 'metrics']),
      hosts: reader.readAddress(['listen', 'hosts']),
    },
    storeAddress: reader.readString(['storeAddress']),
    heartbeatMs: reader.readDurationMs(['heartbeatMs'], 1),
    stopGraceMs: reader.readDurationMs(['stopGraceMs'], 0),
    repeats: {
      ratio: reader.readNumber(['repeats', 'ratio'], 0),
      extra: reader.readNumber(['repeats', 'extra'], 0),
      windowMs: reader.readDurationMs(['repeats', 'windowMs'], 1),
    },
    rollouts: {
      exposureShare: reader.readNumber(['rollouts', 'exposureShare'], 0),
      exposureSlack: reader.readNumber(['rollouts', 'exposureSlack'], 0),
      sessionMs: reader.readDurationMs(['rollouts', 'sessionMs'], 0),
    },
    scheduling: readScheduling(reader),
    ...(reader.has(['slowStart']) ? {slowStart: readSlowStart(reader)} : {}),
    ...(reader.has(['regions'])
      ? {regions: reader.readStrings(['regions'])}
      : {}),
    ...readEvacuations(reader),
    ...(reader.has(['resources']) ? {resources: readResources(reader)} : {}),
  };
}

function readResources(reader: FieldReader): ResourceSettings {
  return {
    memoryMb: reader.readNumber(['resources', 'memoryMb'], MIN_MEMORY_MB),
    maxFds: reader.readNumber(['resources', 'maxFds'], MIN_FDS),
  };
}

function readScheduling(reader: FieldReader): SchedulingSettings {
  return {
    urgency: reader.readChoice(
      ['scheduling', 'urgency'],
      URGENCY_POLICIES,
      DEFAULT_SCHEDULING.urgency,
    ),
    serverPace: reader.readBoolean(
      ['scheduling', 'serverPace'],
      DEFAULT_SCHEDULING.serverPace,
    ),
    sampledServers: reader.readOptionalInteger(
      ['scheduling', 'sampledServers'],
      DEFAULT_SCHEDULING.sampledServers,
    ),
    ...(reader.has(['scheduling', 'admission'])
      ? {admission: readAdmission(reader)}
      : {}),
  };
}

/** Escalations must stop before requests are rejected. */
const MIN_PRICE_RANGE = 0.05;

function readAdmission(reader: FieldReader): LoadAdmissionOptions {
  const read = (name: keyof LoadAdmissionOptions, minimum: number): number => {
    const path = ['scheduling', 'admission', name];
    const defaultValue = DEFAULT_LOAD_ADMISSION[name];
    // A default that contradicts another field is reported as missing.
    return reader.has(path) || defaultValue < minimum
      ? reader.readNumber(path, minimum)
      : defaultValue;
  };
  const escalationPriceFrom = read('escalationPriceFrom', 0);
  return {
    minOccupiedShare: read('minOccupiedShare', 0.5),
    escalationPriceFrom,
    rejectFrom: read('rejectFrom', escalationPriceFrom + MIN_PRICE_RANGE),
  };
}

function readSlowStart(
  reader: FieldReader,
): NonNullable<GatewaySettings['slowStart']> {
  return {
    overage: reader.readNumber(['slowStart', 'overage'], 0),
    extra: reader.readNumber(['slowStart', 'extra'], 0),
  };
}

function readEvacuations(
  reader: FieldReader,
): Pick<GatewaySettings, 'evacuations'> {
  if (!reader.has(['evacuations'])) return {};
  const path = ['evacuations', 'applyWithinMs'];
  return {evacuations: {applyWithinMs: reader.readDurationMs(path, 1)}};
}
