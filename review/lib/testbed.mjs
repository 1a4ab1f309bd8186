// The frame of each case: record, temporary folder, start, end and exit code.
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';
import {Gateway} from './gateway.mjs';
import {Runner} from './runner.mjs';
import {Store} from './store.mjs';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
const TIME_LIMIT_MS = 110_000;

/** False if the same is to be played without the disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** The configuration of a small deployment, with a route of each kind. */
export function createConfig(version, overrides = {}) {
  const route = {
    hostname: 'desk.example',
    priority: 1,
    maxAttempts: 3,
    public: false,
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: 'confirm',
        pathPrefix: '/confirm/',
        kind: 'unsafe',
        service: 'desk',
        timeoutMs: 4000,
        targetLatencyMs: 121,
      },
      {
        ...route,
        name: 'roster',
        pathPrefix: '/roster/',
        kind: 'safe',
        service: 'desk',
        timeoutMs: 4000,
        targetLatencyMs: 121,
      },
      {
        ...route,
        name: 'letter',
        pathPrefix: '/letter/',
        kind: 'streaming',
        service: 'quill',
        timeoutMs: 12_000,
        targetLatencyMs: 2000,
        gapAimMs: 1000,
        streamResume: true,
      },
    ],
    services: [
      {name: 'desk', healthPath: '/healthz', maxConnections: 96},
      {name: 'quill', healthPath: '/healthz', maxConnections: 360},
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 5000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{name: 'school-1', apiKeys: ['key-1'], priority: 1}],
    ...overrides,
  };
}

/** Store, runners and gateways of one case. */
export class Testbed {
  constructor(recordFile) {
    this.recordFile = recordFile;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.startMs = performance.now();
    this.lines = [];
    this.parts = [];
    this.gateways = [];
    this.record = text => {
      const atMs = Math.round(performance.now() - this.startMs);
      this.lines.push(`${String(atMs).padStart(6)} ms  ${text}`);
    };
  }

  async startStore(config = createConfig(1)) {
    this.store = await Store.start();
    this.parts.push(this.store);
    this.store.put('config', 'main', config);
    return this.store;
  }

  async startRunner(options) {
    const runner = await Runner.start({...options, record: this.record});
    this.parts.push(runner);
    this.store.put('servers', runner.id, runner.entry());
    return runner;
  }

  async startGateway(name, storePort = this.store.port, options = {}) {
    const {folder, record} = this;
    this.record(`start ${name}`);
    const gateway = await Gateway.start({
      ...options,
      name,
      folder,
      storePort,
      record,
    });
    this.gateways.push(gateway);
    return gateway;
  }

  async stop() {
    await Promise.all(this.gateways.map(gateway => gateway.kill()));
    for (const part of this.parts) part.stop();
    if (process.env.KEEP_LOGS === '1') console.log(`logs: ${this.folder}`);
    else rmSync(this.folder, {recursive: true});
  }
}

/**
 * Plays a case and exits with its result.
 *
 * @param play gets the testbed and returns what broke the rule, a text each.
 */
export async function playCase(recordFile, play) {
  const testbed = new Testbed(recordFile);
  const timer = setTimeout(() => {
    testbed.record('the case took too long');
    for (const {child} of testbed.gateways) child.kill('SIGKILL');
    writeFileSync(recordFile, `${testbed.lines.join('\n')}\n`);
    process.exit(NOT_RUN);
  }, TIME_LIMIT_MS);
  timer.unref();
  let exitCode = NOT_RUN;
  try {
    testbed.record(HAS_TROUBLE ? 'with the disruption' : 'without it');
    const broken = await play(testbed);
    for (const text of broken) testbed.record(`BROKEN ${text}`);
    testbed.record(broken.length > 0 ? 'the rule was broken' : 'the rule held');
    exitCode = broken.length > 0 ? BROKEN : HELD;
  } catch (error) {
    testbed.record(`could not run: ${error.stack}`);
  }
  console.log(testbed.lines.at(-1));
  await testbed.stop();
  writeFileSync(recordFile, `${testbed.lines.join('\n')}\n`);
  process.exit(exitCode);
}
