/** Starts the program of deploy/system.toml with settings from its template. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {openSync, readFileSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {dirname, join, resolve} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
const SECTION = /^\{\{([#^])([^}]+)\}\}\n([^]*?)^\{\{\/\2\}\}\n/gm;
const started = new Set();

/** Ends every process that this module has started. */
export function killAll() {
  for (const child of started) child.kill('SIGKILL');
}

process.on('exit', killAll);

export async function findPort() {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address();
  server.close();
  await once(server, 'close');
  return port;
}

/** Bounds of the site file penbridge.toml, as SYSTEM.md gives them. */
const VALUES = {
  heartbeatMs: '1200',
  'bounds.graceS': '8',
  'bounds.retryBudgetRatio': '0.9',
  'bounds.retryBudgetExtra': '52',
  'bounds.budgetWindowS': '10',
  'bounds.exposureShare': '0.15',
  'bounds.exposureSlack': '30',
  'bounds.sessionS': '5',
  'zones|json': '{"kr-a":"kr","kr-b":"kr","kr-c":"kr"}',
  'limits.memoryMb': '350',
  'limits.maxFds': '4100',
};

function fillTemplate(values) {
  const template = readFileSync(join(ROOT, 'deploy/gateway.yaml.tmpl'), 'utf8');
  return template
    .replace(SECTION, (_, sign, name, lines) =>
      (values[name] === undefined) === (sign === '^') ? lines : '',
    )
    .replace(/\{\{([^}]+)\}\}/g, (_, name) => values[name]);
}

/** One machine: its ports and the process that runs on it. */
export class Gateway {
  static async create(folder, {name, zone, store, values = {}}) {
    const gateway = new Gateway();
    gateway.name = name;
    gateway.port = await findPort();
    gateway.readyPort = await findPort();
    const text = fillTemplate({
      ...VALUES,
      nodeName: name,
      zone,
      ip: '127.0.0.1',
      'listen.front': `127.0.0.1:${gateway.port}`,
      'listen.ready': `127.0.0.1:${gateway.readyPort}`,
      'internalPorts.0': String((gateway.metricsPort = await findPort())),
      'internalPorts.1': String((gateway.hostPort = await findPort())),
      'platform.address': store,
      ...values,
    });
    gateway.settings = join(folder, `${name}.yaml`);
    gateway.log = join(folder, `${name}.out.txt`);
    writeFileSync(gateway.settings, text);
    return gateway;
  }

  /** Starts the process with the command of the deploy file. */
  start() {
    const output = openSync(this.log, 'a');
    this.child = spawn(
      'node',
      [
        '--max-old-space-size=160',
        '--max-semi-space-size=4',
        'target/anvilrudder-gateway.mjs',
      ],
      {
        cwd: ROOT,
        env: {PATH: process.env.PATH, ANVILRUDDER_BOOT: this.settings},
        stdio: ['ignore', output, output],
      },
    );
    const {child} = this;
    this.exit = undefined;
    started.add(child);
    child.once('exit', (code, signal) => {
      this.exit = {code, signal};
      started.delete(child);
    });
  }

  /** Waits until the process says that it is ready. */
  async ready(timeoutMs = 15_000) {
    const untilMs = Date.now() + timeoutMs;
    while (Date.now() < untilMs) {
      if ((await this.question()) === 200) return;
      await sleep(100);
    }
    throw new Error(`${this.name} is not ready`);
  }

  question() {
    return new Promise(done => {
      const url = `http://127.0.0.1:${this.readyPort}/readyz`;
      const request = get(url, {agent: false, timeout: 1000}, response => {
        response.resume();
        done(response.statusCode);
      });
      request.on('timeout', () => request.destroy());
      request.on('error', () => done(undefined));
    });
  }

  kill(signal) {
    this.child.kill(signal);
  }
}
