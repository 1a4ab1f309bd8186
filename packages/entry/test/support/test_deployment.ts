import {createHash} from 'node:crypto';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  startBookingStandIn,
  startEngineStandIn,
  startHostListStandIn,
  startObjectStandIn,
  type EngineStandInOptions,
} from '@anvilrudder/stand-ins';
import {stringify} from 'yaml';
import {parseSettings} from '../../src/config/parse_settings.js';
import type {Settings} from '../../src/config/settings_schema.js';
import {startEntry, type RunningEntry} from '../../src/start_entry.js';

/** API keys of the organisations of a test deployment. */
export const API_KEYS = {
  'school-a': 'key-of-school-a',
  'agency-b': 'key-of-agency-b',
} as const;

/** Token of the operator `mina` of a test deployment. */
export const OPERATOR_TOKEN = 'token-of-mina';

/** Initial rules of most tests. */
export const TEST_RULES = `
model name=quick version=v1 cost-per-mtok=1 quality=0.8 # test: base
model name=quick version=v2 cost-per-mtok=1 quality=0.8 # test: next
model name=deep version=v1 cost-per-mtok=9 quality=0.95 # test: base
kind name=chat quality=0.6 deadline-ms=5000 session=yes # test: sessions
kind name=brief quality=0.9 deadline-ms=5000 # test: no sessions
service name=booking idempotent=no timeout-ms=2000 # test: once
allow organisation=school-a model=* version=* kind=* # test: everything
allow organisation=school-a service=booking # test: everything
allow organisation=agency-b model=quick version=v1 kind=chat # test: little
rollout model=quick version=v2 share=0% # test: not yet
`;

/** Options of {@link startTestDeployment}. */
export interface TestDeploymentOptions {
  readonly entryCount?: number;
  readonly engines?: readonly EngineStandInOptions[];
  readonly rules?: string;
  /** Folder of the settings file `<host>.yaml` that each entry watches. */
  readonly settingsFolder?: string;
  /** Returns the changed settings of an entry; called for each entry. */
  readonly settings?: (settings: Settings) => Settings;
}

/** Stand-ins and entries of one test, all in the test process. */
export type TestDeployment = Awaited<ReturnType<typeof startTestDeployment>>;

const DEFAULT_ENGINES: readonly EngineStandInOptions[] = [
  {
    loaded: [
      {model: 'quick', version: 'v1'},
      {model: 'quick', version: 'v2'},
    ],
  },
  {
    loaded: [
      {model: 'quick', version: 'v1'},
      {model: 'deep', version: 'v1'},
    ],
  },
];

/** Starts stand-ins and entries on loopback; call `stop` at the end. */
export async function startTestDeployment(options: TestDeploymentOptions = {}) {
  const objects = await startObjectStandIn();
  const hosts = await startHostListStandIn();
  const booking = await startBookingStandIn();
  const engines = await Promise.all(
    (options.engines ?? DEFAULT_ENGINES).map(each => startEngineStandIn(each)),
  );
  const setHosts = (leaving: readonly number[] = []): void =>
    hosts.setHosts([
      {
        host: 'booking-1',
        role: 'booking',
        address: booking.address,
        failureDomain: 'domain-a',
        state: 'live',
      },
      ...engines.map((engine, index) => ({
        host: `engine-${index}`,
        role: 'engine' as const,
        address: engine.address,
        failureDomain: 'domain-a',
        state: leaving.includes(index)
          ? ('leaving' as const)
          : ('live' as const),
      })),
    ]);
  setHosts();
  const rulesFile = join(mkdtempSync(join(tmpdir(), 'rules-')), 'rules');
  writeFileSync(rulesFile, options.rules ?? TEST_RULES);
  const startOne = (host: string): Promise<RunningEntry> => {
    const settings = createSettings(host, {
      objectsUrl: `http://${objects.address}`,
      hostsUrl: `http://${hosts.address}`,
      rulesFile,
    });
    const changed = options.settings?.(settings) ?? settings;
    if (options.settingsFolder === undefined) return startEntry(changed);
    const settingsFile = join(options.settingsFolder, `${host}.yaml`);
    writeFileSync(settingsFile, stringify(changed));
    return startEntry(changed, {settingsFile});
  };
  const entries = await Promise.all(
    Array.from({length: options.entryCount ?? 1}, (_, index) =>
      startOne(`entry-${index}`),
    ),
  );
  return {
    objects,
    hosts,
    booking,
    engines,
    entries,
    setHosts,
    startEntry: startOne,
    async stop(): Promise<void> {
      await Promise.all(entries.map(entry => entry.stop()));
      await Promise.all([
        objects.stop(),
        hosts.stop(),
        booking.stop(),
        ...engines.map(engine => engine.stop()),
      ]);
    },
  };
}

const WAIT_TIMEOUT_MS = 10_000;

/** Waits until a condition holds; fails after ten seconds by default. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  what: string,
  timeoutMs = WAIT_TIMEOUT_MS,
): Promise<void> {
  const giveUpAtMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > giveUpAtMs)
      throw new Error(`condition not met in time: ${what}`);
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

function createSettings(
  host: string,
  input: {
    readonly objectsUrl: string;
    readonly hostsUrl: string;
    readonly rulesFile: string;
  },
): Settings {
  const {settings, findings} = parseSettings(
    stringify({
      host,
      failureDomain: 'domain-a',
      listen: {port: 0},
      peer: {port: 0},
      platform: {
        objectsUrl: input.objectsUrl,
        hostsUrl: input.hostsUrl,
        hostPollMs: 20,
        callTimeoutMs: 500,
      },
      organisations: Object.entries(API_KEYS).map(([name, key]) => ({
        name,
        keySha256: [createHash('sha256').update(key).digest('hex')],
      })),
      operators: [
        {
          name: 'mina',
          tokenSha256: createHash('sha256')
            .update(OPERATOR_TOKEN)
            .digest('hex'),
        },
      ],
      sessions: {
        keys: [
          {id: 'k1', secretBase64: Buffer.alloc(32, 7).toString('base64')},
        ],
      },
      rules: {initialFile: input.rulesFile},
      stop: {readyGraceMs: 20},
      log: {level: 'error'},
    }),
  );
  if (settings === undefined) throw new Error(JSON.stringify(findings));
  return settings;
}
