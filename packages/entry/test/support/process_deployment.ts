import type {ChildProcess} from 'node:child_process';
import {createHash} from 'node:crypto';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {HttpObjectStore} from '@anvilrudder/clients';
import {
  startBookingStandIn,
  startEngineStandIn,
  startHostListStandIn,
  startObjectStandIn,
  type EngineStandInOptions,
} from '@anvilrudder/stand-ins';
import {request} from 'undici';
import {stringify} from 'yaml';
import {EntryProcess, endProcess} from './entry_process.js';
import {API_KEYS, TEST_RULES, waitUntil} from './test_deployment.js';

/** Token of the operator of a process deployment. */
export const OPERATOR_TOKEN = 'token-of-mina';

/** Session key of a process deployment, in base64. */
export const SESSION_SECRET = Buffer.alloc(32, 7).toString('base64');

/** Options of {@link startProcessDeployment}. */
export interface ProcessDeploymentOptions {
  /** Default 3. */
  readonly entryCount?: number;
  readonly engines?: readonly EngineStandInOptions[];
  /** Rule file of revision 1. Default {@link TEST_RULES}. */
  readonly rules?: string;
  /** Default 2000. */
  readonly freshnessMs?: number;
}

/** The response of an entry at `/readyz`. */
export interface Readiness {
  readonly httpStatus: number;
  readonly revision: number;
}

/** Stand-ins in this process, and entries in child processes. */
export type ProcessDeployment = Awaited<
  ReturnType<typeof startProcessDeployment>
>;

const DEFAULT_FRESHNESS_MS = 2000;
const FAILURE_DOMAINS = ['domain-a', 'domain-b', 'domain-c'];
const ENGINES: readonly EngineStandInOptions[] = [
  {
    loaded: [
      {model: 'quick', version: 'v1'},
      {model: 'quick', version: 'v2'},
    ],
  },
  {
    loaded: [
      {model: 'quick', version: 'v1'},
      {model: 'quick', version: 'v2'},
      {model: 'deep', version: 'v1'},
    ],
  },
];

/** Starts stand-ins and entries on loopback; call `stop` at the end. */
export async function startProcessDeployment(
  options: ProcessDeploymentOptions = {},
) {
  const children: ChildProcess[] = [];
  const folder = mkdtempSync(join(tmpdir(), 'process-deployment-'));
  const objects = await startObjectStandIn();
  const hosts = await startHostListStandIn();
  const booking = await startBookingStandIn();
  const engines = await Promise.all(
    (options.engines ?? ENGINES).map(each => startEngineStandIn(each)),
  );
  hosts.setHosts([
    createHost('booking-0', 'booking', booking.address),
    ...engines.map(({address}, index) =>
      createHost(`engine-${index}`, 'engine', address),
    ),
  ]);
  const rulesFile = join(folder, 'rules');
  writeFileSync(rulesFile, options.rules ?? TEST_RULES);
  const writeSettings = (host: string, index: number, peerPort = 0): void =>
    writeFileSync(
      join(folder, `${host}.yaml`),
      stringify({
        ...createSettings(),
        peer: {port: peerPort},
        host,
        failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length],
        platform: {
          objectsUrl: `http://${objects.address}`,
          hostsUrl: `http://${hosts.address}`,
          hostPollMs: 50,
          callTimeoutMs: 500,
        },
        rules: {
          initialFile: rulesFile,
          freshnessMs: options.freshnessMs ?? DEFAULT_FRESHNESS_MS,
        },
      }),
    );
  const startOne = (host: string): Promise<EntryProcess> =>
    EntryProcess.start(host, join(folder, `${host}.yaml`), child =>
      children.push(child),
    );
  const stop = async (): Promise<void> => {
    await Promise.all(children.map(endProcess));
    await Promise.all(
      [objects, hosts, booking, ...engines].map(each => each.stop()),
    );
    rmSync(folder, {recursive: true});
  };
  const names = Array.from(
    {length: options.entryCount ?? 3},
    (_, index) => `entry-${index}`,
  );
  try {
    names.forEach((host, index) => writeSettings(host, index));
    const entries = await Promise.all(names.map(startOne));
    return {
      objects,
      booking,
      engines,
      entries,
      /** Restarts an entry that has ended, at the same peer address. */
      restartEntry: (entry: EntryProcess): Promise<EntryProcess> => {
        const port = Number(entry.peerAddress.split(':')[1]);
        writeSettings(entry.host, entries.indexOf(entry), port);
        return startOne(entry.host);
      },
      /** Starts an entry at a new address. */
      startEntry: (host: string, index: number): Promise<EntryProcess> => {
        writeSettings(host, index);
        return startOne(host);
      },
      /** The client of the object API that entries use. */
      store: HttpObjectStore.create({baseUrl: `http://${objects.address}`}),
      /** Counts the generations of a version that the engines have started. */
      countExecutions: (version: string): number =>
        engines
          .map(engine => engine.counters().executionsByVersion[version] ?? 0)
          .reduce((sum, count) => sum + count, 0),
      stop,
    };
  } catch (error) {
    await stop();
    throw error;
  }
}

/** Reads the readiness of an entry; undefined when it can't be reached. */
export async function readReadiness(
  callerAddress: string,
): Promise<Readiness | undefined> {
  try {
    const response = await request(`http://${callerAddress}/readyz`);
    const {revision} = (await response.body.json()) as {revision: number};
    return {httpStatus: response.statusCode, revision};
  } catch {
    return undefined;
  }
}

/** Waits until an entry serves a revision or a newer one. */
export async function waitForReady(
  callerAddress: string,
  revision: number,
): Promise<void> {
  await waitUntil(async () => {
    const ready = await readReadiness(callerAddress);
    return ready?.httpStatus === 200 && ready.revision >= revision;
  }, `${callerAddress} serves revision ${revision}`);
}

function createSettings(): object {
  return {
    listen: {port: 0},
    organisations: Object.entries(API_KEYS).map(([name, key]) => ({
      name,
      keySha256: [digest(key)],
    })),
    operators: [{name: 'mina', tokenSha256: digest(OPERATOR_TOKEN)}],
    sessions: {keys: [{id: 'k1', secretBase64: SESSION_SECRET}]},
    stop: {readyGraceMs: 300},
  };
}

function createHost(host: string, role: 'booking' | 'engine', address: string) {
  return {
    host,
    role,
    address,
    failureDomain: 'domain-a',
    state: 'live' as const,
  };
}

function digest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
