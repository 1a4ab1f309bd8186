// Starts the program of the deploy file as processes, on loopback addresses.
import {spawn} from 'node:child_process';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const PASSED_VARIABLES = ['PATH', 'HOME', 'LANG'];
const READY_TIMEOUT_MS = 15_000;

async function findFreePort() {
  const server = createServer();
  await new Promise(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const {port} = server.address();
  await new Promise(resolve => {
    server.close(resolve);
  });
  return port;
}

/** The `run` command of the deploy file, split at spaces. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Fills in the settings template of the deploy file. */
function fillTemplate(values) {
  const path = join(ROOT, 'deploy', 'settings.yaml.tmpl');
  return readFileSync(path, 'utf8').replace(/\{\{([^}]+)\}\}/g, (_, name) => {
    if (!(name in values)) throw new Error(`no value for ${name}`);
    return String(values[name]);
  });
}

/** One gateway process; its bounds are those of the Penbridge sheet. */
export class Gateway {
  constructor({name, folder, storePort, record, zone = 'zone-a'}) {
    Object.assign(this, {name, folder, storePort, record, zone});
    this.settingsFile = join(folder, `${name}.yaml`);
  }

  static async start(options) {
    const gateway = new Gateway(options);
    gateway.callersPort = await findFreePort();
    gateway.readyPort = await findFreePort();
    gateway.internalPorts = [await findFreePort(), await findFreePort()];
    gateway.writeSettings();
    gateway.run();
    await gateway.waitUntilReady();
    return gateway;
  }

  writeSettings(overrides = {}) {
    const text = fillTemplate({
      nodeName: this.name,
      zone: this.zone,
      ip: '127.0.0.1',
      'listen.front': `127.0.0.1:${this.callersPort}`,
      'listen.ready': `127.0.0.1:${this.readyPort}`,
      'internalPorts.0': this.internalPorts[0],
      'internalPorts.1': this.internalPorts[1],
      'platform.address': `127.0.0.1:${this.storePort}`,
      heartbeatMs: 1200,
      'bounds.graceS': 8,
      'bounds.retryBudgetRatio': 0.9,
      'bounds.retryBudgetExtra': 52,
      'bounds.budgetWindowS': 10,
      'bounds.exposureShare': 0.15,
      'bounds.exposureSlack': 30,
      'bounds.sessionS': 5,
      ...overrides,
    });
    writeFileSync(this.settingsFile, text);
  }

  run() {
    const [program, ...args] = readCommand();
    const env = {ANVILRUDDER_BOOT: this.settingsFile};
    for (const name of PASSED_VARIABLES) {
      if (process.env[name] !== undefined) env[name] = process.env[name];
    }
    const log = createWriteStream(join(this.folder, `${this.name}.log`), {
      flags: 'a',
    });
    this.child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child.stdout.pipe(log, {end: false});
    this.child.stderr.pipe(log, {end: false});
    this.exited = new Promise(resolve => {
      this.child.once('exit', (code, signal) => {
        this.exit = signal ?? code;
        this.record(`exit  ${this.name}: ${this.exit}`);
        resolve();
      });
    });
  }

  signal(name) {
    this.record(`sig   ${name} to ${this.name}`);
    this.child.kill(name);
  }

  /** Status of one readiness question; undefined without an answer. */
  askReady() {
    return new Promise(resolve => {
      const request = get(
        {
          host: '127.0.0.1',
          port: this.readyPort,
          path: '/readyz',
          agent: false,
        },
        response => {
          response.resume();
          resolve(response.statusCode);
        },
      );
      request.setTimeout(1000, () => request.destroy());
      request.on('error', () => resolve(undefined));
    });
  }

  async waitUntilReady() {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while ((await this.askReady()) !== 200) {
      if (performance.now() > endMs)
        throw new Error(`${this.name} did not become ready`);
      await delay(50);
    }
  }

  async kill() {
    if (this.exit === undefined) this.child.kill('SIGKILL');
    await this.exited;
  }
}
