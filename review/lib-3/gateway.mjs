/** Starts the program of the deploy file with its template filled in. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const SECTION = /^\{\{([#^])([^}]+)\}\}\n([^]*?)^\{\{\/\2\}\}\n/gm;
const PLACEHOLDER = /\{\{([^}]+)\}\}/g;
const START_TIMEOUT_MS = 15_000;

export async function findFreePort(ip = '127.0.0.1') {
  const server = createServer();
  server.listen(0, ip);
  await once(server, 'listening');
  const {port} = server.address();
  server.close();
  await once(server, 'close');
  return port;
}

function fillTemplate(values) {
  const text = readFileSync(join(ROOT, 'deploy/gateway.yaml.tmpl'), 'utf8');
  return text
    .replace(SECTION, (_, sign, name, lines) =>
      (values[name] === undefined) === (sign === '^') ? lines : '',
    )
    .replace(PLACEHOLDER, (_, name) => values[name]);
}

/** Words of `run` in the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"/m.exec(text)[1].split(' ');
}

export class Gateway {
  #folder = mkdtempSync(join(tmpdir(), 'review-'));
  #output = '';

  constructor(values, addresses) {
    this.values = values;
    Object.assign(this, addresses);
  }

  /** @param values of the template's placeholders, besides the usual ones. */
  static async create(storeAddress, {ip = '127.0.0.1', ...overrides} = {}) {
    const ports = [];
    for (let count = 0; count < 4; count += 1)
      ports.push(await findFreePort(ip));
    const [front, ready, metrics, hosts] = ports;
    const values = {
      nodeName: `edge-${ip}`,
      zone: 'kr-central-a',
      ip,
      'listen.front': `${ip}:${front}`,
      'listen.ready': `${ip}:${ready}`,
      'internalPorts.0': String(metrics),
      'internalPorts.1': String(hosts),
      'platform.address': storeAddress,
      heartbeatMs: '1200',
      'bounds.graceS': '8',
      'bounds.retryBudgetRatio': '0.9',
      'bounds.retryBudgetExtra': '52',
      'bounds.budgetWindowS': '10',
      'bounds.exposureShare': '0.15',
      'bounds.exposureSlack': '30',
      'bounds.sessionS': '5',
      'zones|json': '{"kr-central-a":"kr-central"}',
      'limits.memoryMb': '350',
      'limits.maxFds': '4100',
      ...overrides,
    };
    return new Gateway(values, {ip, front, ready, metrics, hosts});
  }

  get output() {
    return this.#output;
  }

  get pid() {
    return this.child.pid;
  }

  get hasEnded() {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  start() {
    const file = join(this.#folder, 'node.yaml');
    writeFileSync(file, fillTemplate(this.values));
    const [, ...words] = readCommand();
    this.child = spawn(process.execPath, words, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, ANVILRUDDER_BOOT: file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const add = chunk => (this.#output += String(chunk));
    this.child.stdout.on('data', add);
    this.child.stderr.on('data', add);
  }

  /** Waits until the process has written a text so many times. */
  async waitFor(text, count = 1, timeoutMs = START_TIMEOUT_MS) {
    const endMs = performance.now() + timeoutMs;
    while (this.#output.split(text).length <= count) {
      if (performance.now() > endMs) throw new Error(`not written: ${text}`);
      await wait(20);
    }
  }

  async signal(name) {
    this.child.kill(name);
    if (!this.hasEnded) await once(this.child, 'exit');
  }

  async stop() {
    if (this.child !== undefined && !this.hasEnded)
      await this.signal('SIGKILL');
    rmSync(this.#folder, {recursive: true, force: true});
  }

  /** Peak of the resident memory in bytes. */
  readPeakBytes() {
    const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
    return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) * 1024;
  }
}
