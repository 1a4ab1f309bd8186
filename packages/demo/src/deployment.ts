import {createHash, randomBytes} from 'node:crypto';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {stringify} from 'yaml';
import {sendHttpRequest} from './caller.js';
import {ProcessGroup, type StartedProcess} from './process_group.js';

const PACKAGES = join(dirname(fileURLToPath(import.meta.url)), '../../..');
const STAND_IN = join(PACKAGES, 'stand-ins/dist/src/main.js');
const ENTRY = join(PACKAGES, 'entry/dist/src/main.js');
const EXAMPLES = join(PACKAGES, '../examples');
const STAND_IN_READY = /listening address=(\S+)/;
const ENTRY_READY = /event=entry_started callerAddress=(\S+) peerAddress=(\S+)/;
const FAILURE_DOMAINS = ['domain-a', 'domain-b', 'domain-c', 'domain-a'];

/** An organisation of the demo and its API key. */
export interface DemoOrganisation {
  readonly name: string;
  readonly apiKey: string;
}

/** An entry process of the demo and its addresses. */
export interface DemoEntry {
  readonly host: string;
  readonly callerUrl: string;
  readonly peerUrl: string;
  readonly process: StartedProcess;
}

/** The running demo: its processes, addresses and credentials. */
export interface Deployment {
  readonly group: ProcessGroup;
  /** Temporary folder with the settings and the changed rule files. */
  readonly folder: string;
  readonly rulesFile: string;
  readonly entries: readonly DemoEntry[];
  readonly organisations: readonly DemoOrganisation[];
  readonly operatorToken: string;
  readonly objectsUrl: string;
  readonly engineUrls: readonly string[];
  readonly bookingUrl: string;
}

/** Starts the stand-ins and then four entries, all on loopback. */
export async function startDeployment(): Promise<Deployment> {
  const group = ProcessGroup.create();
  const folder = mkdtempSync(join(tmpdir(), 'anvilrudder-demo-'));
  const startStandIn = async (
    name: string,
    ...args: readonly string[]
  ): Promise<string> => {
    const started = await group.start({
      name,
      command: [STAND_IN, ...args],
      readyPattern: STAND_IN_READY,
    });
    return started.readyCaptures[0];
  };
  const [objects, hosts, booking, ...engines] = await Promise.all([
    startStandIn('objects', 'objects'),
    startStandIn('hosts', 'hosts'),
    startStandIn('booking', 'booking'),
    ...['quick@v1,quick@v2', 'quick@v1,quick@v2', 'deep@v1'].map(
      (loaded, index) =>
        startStandIn(
          `engine-${index}`,
          'engine',
          '--loaded',
          loaded,
          '--slots',
          '16',
          '--token-delay-ms',
          '5',
          '--confidence',
          'quick@v1=0.7,quick@v2=0.7,deep@v1=0.95',
        ),
    ),
  ]);
  await publishHosts(hosts, booking, engines);
  const organisations = ['seoul-north', 'colombo-one'].map(name => ({
    name,
    apiKey: randomBytes(16).toString('hex'),
  }));
  const operatorToken = randomBytes(16).toString('hex');
  const sharedSettings = createSharedSettings({
    objectsUrl: `http://${objects}`,
    hostsUrl: `http://${hosts}`,
    organisations,
    operatorToken,
  });
  const entries = await Promise.all(
    FAILURE_DOMAINS.map((failureDomain, index) =>
      startEntryProcess(group, folder, {
        host: `entry-${index + 1}`,
        failureDomain,
        ...sharedSettings,
      }),
    ),
  );
  return {
    group,
    folder,
    rulesFile: join(EXAMPLES, 'demo.rules'),
    entries,
    organisations,
    operatorToken,
    objectsUrl: `http://${objects}`,
    engineUrls: engines.map(address => `http://${address}`),
    bookingUrl: `http://${booking}`,
  };
}

interface SharedSettingsInput {
  readonly objectsUrl: string;
  readonly hostsUrl: string;
  readonly organisations: readonly DemoOrganisation[];
  readonly operatorToken: string;
}

function createSharedSettings(input: SharedSettingsInput): object {
  return {
    listen: {port: 0},
    peer: {port: 0},
    platform: {
      objectsUrl: input.objectsUrl,
      hostsUrl: input.hostsUrl,
      hostPollMs: 200,
    },
    organisations: input.organisations.map(({name, apiKey}) => ({
      name,
      keySha256: [sha256(apiKey)],
    })),
    operators: [{name: 'mina', tokenSha256: sha256(input.operatorToken)}],
    sessions: {
      keys: [{id: 'k1', secretBase64: randomBytes(32).toString('base64')}],
    },
    rules: {initialFile: join(EXAMPLES, 'demo.rules')},
    stop: {readyGraceMs: 500},
  };
}

async function startEntryProcess(
  group: ProcessGroup,
  folder: string,
  settings: {readonly host: string; readonly failureDomain: string},
): Promise<DemoEntry> {
  const file = join(folder, `${settings.host}.yaml`);
  writeFileSync(file, stringify(settings));
  const started = await group.start({
    name: settings.host,
    command: [ENTRY, '--config', file],
    readyPattern: ENTRY_READY,
  });
  const [callerAddress, peerAddress] = started.readyCaptures;
  return {
    host: settings.host,
    callerUrl: `http://${callerAddress}`,
    peerUrl: `http://${peerAddress}`,
    process: started,
  };
}

async function publishHosts(
  hosts: string,
  booking: string,
  engines: readonly string[],
): Promise<void> {
  const list = [
    createHost('booking-1', 'booking', booking, 0),
    ...engines.map((address, index) =>
      createHost(`engine-${index + 1}`, 'engine', address, index),
    ),
  ];
  await sendHttpRequest(`http://${hosts}/admin/hosts`, {
    method: 'PUT',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify({hosts: list}),
  });
}

function createHost(
  host: string,
  role: string,
  address: string,
  index: number,
): object {
  return {
    host,
    role,
    address,
    failureDomain: FAILURE_DOMAINS[index],
    state: 'live',
  };
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
