import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, readFile, readdir, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {text} from 'node:stream/consumers';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {startEngineStandIn} from '@anvilrudder/stand-ins';
import type {ComparisonRow, LoadReport} from '../../src/index.js';
import {formatResponse, startFakeEntry} from '../support/fake_entry.js';

const MAIN = fileURLToPath(new URL('../../src/main.js', import.meta.url));

interface CommandOutput {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

async function runCommand(args: readonly string[]): Promise<CommandOutput> {
  const child = spawn(process.execPath, [MAIN, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const outputs = Promise.all([text(child.stdout), text(child.stderr)]);
  const [code] = (await once(child, 'exit')) as [number];
  const [stdout, stderr] = await outputs;
  return {code, stdout, stderr};
}

test('prints all invalid arguments together and exits with 1', async () => {
  const {code, stderr} = await runCommand([
    ...['run', '--target', 'http://10.0.0.1:80', '--rate', 'x'],
    ...['--arrivals', 'bursts', '--session-share', '2'],
  ]);
  assert.equal(code, 1);
  assert.deepEqual(stderr.trimEnd().split('\n'), [
    'error: --rate: expected a number, got "x"',
    'error: --arrivals: expected poisson or constant, got "bursts"',
    'error: targets must be http:// URLs; all addresses must be IPv4 loopback addresses',
    'error: shares must be between 0 and 1',
  ]);
});

test('exits with 2 when a response is incorrect', async t => {
  const entry = await startFakeEntry({
    generate: (body, response) =>
      response.end(formatResponse(body, 'v1', texts => texts.slice(1))),
  });
  t.after(() => entry.stop());
  const {code, stdout} = await runCommand([
    ...['run', '--target', entry.url, '--rate', '20', '--duration-ms', '100'],
    ...['--arrivals', 'constant'],
  ]);
  assert.equal(code, 2);
  assert.match(stdout, /verdicts: foreign=2/);
});

test('compare sends the same load directly and through an entry, and writes a report', async t => {
  const loaded = [{model: 'quick', version: 'v1'}];
  const engine = await startEngineStandIn({loaded});
  const entry = await startFakeEntry({
    generate: (body, response) => response.end(formatResponse(body, 'v1')),
  });
  const folder = await mkdtemp(join(tmpdir(), 'load-report-'));
  t.after(async () => {
    await engine.stop();
    entry.stop();
    await rm(folder, {recursive: true});
  });
  const engines = `http://${engine.address}`;
  const load = ['--rate', '50', '--duration-ms', '200', '--arrivals'];
  const output = await runCommand([
    ...['compare', '--engines', engines, '--entries', entry.url],
    ...[...load, 'constant', '--json', '--report', folder],
  ]);
  const {direct, rows} = JSON.parse(output.stdout) as {
    direct: LoadReport;
    rows: readonly ComparisonRow[];
  };
  assert.equal(direct.measurement.ok, 10);
  assert.equal(rows[0].measure, 'okPerS');
  const [point] = direct.measurement.timeline;
  assert.deepEqual(point.byModelVersion, {'quick@v1': 10});
  const files = await readdir(folder);
  assert.deepEqual(files.sort(), [
    'betweenTokens.svg',
    'firstToken.svg',
    'report.json',
    'timeline.svg',
    'versions.svg',
    'whole.svg',
  ]);
  const plot = await readFile(join(folder, 'whole.svg'), 'utf8');
  assert.equal(plot.match(/<polyline/g)?.length, 2);
  const table = await runCommand([
    ...['run', '--target', entry.url, ...load, 'constant'],
  ]);
  assert.match(table.stdout, /verdicts: whole=10/);
});
