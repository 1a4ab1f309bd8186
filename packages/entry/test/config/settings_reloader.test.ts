import assert from 'node:assert/strict';
import {execFileSync, spawn} from 'node:child_process';
import {createHash} from 'node:crypto';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {open} from 'node:fs/promises';
import {once} from 'node:events';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {test, type TestContext} from 'node:test';
import {HttpObjectStore} from '@anvilrudder/clients';
import {ControlService} from '@anvilrudder/peers';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {parse, stringify} from 'yaml';
import type {Settings} from '../../src/config/settings_schema.js';
import {createAuditTrail} from '../../src/control/audit/audit_trail.js';
import {generate} from '../support/test_caller.js';
import {startTestDeployment, waitUntil} from '../support/test_deployment.js';

type SettingsChange = (settings: Settings) => Partial<Settings>;

const KEY_1 = {id: 'k1', secretBase64: createSecret(7)};
const KEY_2 = {id: 'k2', secretBase64: createSecret(8)};

/** Starts two entries whose settings files the test may change. */
async function startWithSettingsFiles(t: TestContext) {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const deployment = await startTestDeployment({
    entryCount: 2,
    settingsFolder: folder,
  });
  t.after(() => deployment.stop());
  const resolvePath = (index: number): string =>
    join(folder, `entry-${index}.yaml`);
  const changeFile = (index: number, change: SettingsChange): void => {
    const path = resolvePath(index);
    const settings = parse(readFileSync(path, 'utf8')) as Settings;
    writeFileSync(path, stringify({...settings, ...change(settings)}));
  };
  return {
    ...deployment,
    resolvePath,
    changeFile,
    async change(index: number, change: SettingsChange): Promise<void> {
      changeFile(index, change);
      await deployment.entries[index].reload();
    },
    addresses: deployment.entries.map(({callerAddress}) => callerAddress),
  };
}

function createSecret(byte: number): string {
  return Buffer.alloc(32, byte).toString('base64');
}

function digest(secret: string): string {
  return createHash('sha256').update(secret).digest('hex');
}

function setSessionKeys(...keys: ReadonlyArray<typeof KEY_1>): SettingsChange {
  return () => ({sessions: {keys: [...keys]}});
}

test('[session] a session is valid at every entry while its key is in the settings', async t => {
  const deployment = await startWithSettingsFiles(t);
  const {addresses, change} = deployment;
  const {session: oldSession} = await generate(addresses[0]);
  const readCodes = (session: string | undefined): Promise<readonly string[]> =>
    Promise.all(
      addresses.map(async each => (await generate(each, {session})).code),
    );

  await change(0, setSessionKeys(KEY_1, KEY_2));
  assert.deepEqual(await readCodes(oldSession), ['ok', 'ok']);
  await change(1, setSessionKeys(KEY_1, KEY_2));

  await change(0, setSessionKeys(KEY_2, KEY_1));
  const {session: newSession} = await generate(addresses[0]);
  assert.notEqual(newSession?.split('.')[1], oldSession?.split('.')[1]);
  assert.deepEqual(await readCodes(newSession), ['ok', 'ok']);
  await change(1, setSessionKeys(KEY_2, KEY_1));
  assert.deepEqual(await readCodes(oldSession), ['ok', 'ok']);

  await change(0, setSessionKeys(KEY_2));
  await change(1, setSessionKeys(KEY_2));
  assert.deepEqual(await readCodes(oldSession), [
    'invalid_session',
    'invalid_session',
  ]);
  assert.deepEqual(await readCodes(newSession), ['ok', 'ok']);
});

test('API keys and operator tokens take effect when the file changes', async t => {
  const {entries, addresses, changeFile} = await startWithSettingsFiles(t);
  changeFile(0, settings => ({
    organisations: settings.organisations.map(organisation =>
      organisation.name === 'school-a'
        ? {...organisation, keySha256: [digest('a new key')]}
        : organisation,
    ),
    operators: [{name: 'kim', tokenSha256: digest('token-of-kim')}],
  }));
  await waitUntil(
    async () => (await generate(addresses[0])).code === 'unauthenticated',
    'entry 0 refuses the API key removed from its settings',
  );
  assert.equal((await generate(addresses[1])).code, 'ok');
  const control = createClient(
    ControlService,
    createConnectTransport({
      baseUrl: `http://${entries[0].peerAddress}`,
      httpVersion: '1.1',
    }),
  );
  const headers = {authorization: 'Bearer token-of-kim'};
  assert.equal((await control.getStatus({}, {headers})).host, 'entry-0');
  changeFile(0, () => ({operators: []}));
  await entries[0].reload();
  await assert.rejects(control.getStatus({}, {headers}), /token is missing/);
});

test('a file with findings leaves the current settings in force', async t => {
  const {entries, addresses, resolvePath} = await startWithSettingsFiles(t);
  const text = readFileSync(resolvePath(0), 'utf8');
  for (const broken of ['', 'host: [', text.replace('listen:', 'lisen:')]) {
    writeFileSync(resolvePath(0), broken);
    await entries[0].reload();
    assert.equal((await generate(addresses[0])).code, 'ok');
  }
});

test('each change of a secret is recorded once, without the secret', async t => {
  const {entries, change, objects} = await startWithSettingsFiles(t);
  const addKey = setSessionKeys(KEY_1, KEY_2);
  await change(0, addKey);
  await Promise.all([entries[0].reload(), entries[0].reload()]);
  await change(0, setSessionKeys(KEY_2));
  await change(0, settings => ({
    organisations: settings.organisations.map(organisation => ({
      ...organisation,
      keySha256: [...organisation.keySha256, digest(organisation.name)],
    })),
  }));
  const store = HttpObjectStore.create({
    baseUrl: `http://${objects.address}`,
    timeoutMs: 500,
  });
  const audit = createAuditTrail({store});
  await waitUntil(
    async () => (await audit.list({action: 'key.rotate'})).length >= 5,
    'every change is recorded',
  );
  const records = await audit.list({action: 'key.rotate'});
  assert.deepEqual(
    records.map(({host, why, outcome}) => [host, why, outcome]),
    [
      ['entry-0', 'session key k2', 'added'],
      ['entry-0', 'session key k1', 'removed'],
      ['entry-0', 'session key k2', 'signs'],
      ['entry-0', 'API key school-a', 'added'],
      ['entry-0', 'API key agency-b', 'added'],
    ],
  );
  assert.equal(new Set(records.map(({id}) => id)).size, records.length);
  const text = JSON.stringify(records);
  for (const secret of [
    KEY_1.secretBase64,
    KEY_2.secretBase64,
    digest('school-a'),
    digest('agency-b'),
  ]) {
    assert.ok(!text.includes(secret));
  }
});

test('a SIGHUP while the entry reads its settings does not end it', async t => {
  const {resolvePath} = await startWithSettingsFiles(t);
  const path = resolvePath(8);
  const text = readFileSync(resolvePath(0), 'utf8')
    .replace('host: entry-0', 'host: entry-8')
    .replace('level: error', 'level: info');
  // The entry waits until the test has written to the pipe.
  execFileSync('mkfifo', [path]);
  const main = fileURLToPath(new URL('../../src/main.js', import.meta.url));
  const entry = spawn(process.execPath, [main, '--config', path]);
  t.after(() => entry.kill('SIGKILL'));
  let lines = '';
  entry.stdout.on('data', (chunk: Buffer) => {
    lines += String(chunk);
  });
  const pipe = await open(path, 'w');
  // A reload reads the file that has taken the place of the pipe.
  rmSync(path);
  writeFileSync(path, text);
  entry.kill('SIGHUP');
  await pipe.writeFile(text);
  await pipe.close();
  await waitUntil(
    () => entry.signalCode !== null || lines.includes('event=entry_started'),
    'the entry has started or ended',
  );
  assert.equal(entry.signalCode, null);
});

test('SIGHUP reloads settings and logs findings and fields that need a restart', async t => {
  const {resolvePath} = await startWithSettingsFiles(t);
  const path = resolvePath(9);
  const text = readFileSync(resolvePath(0), 'utf8')
    .replace('host: entry-0', 'host: entry-9')
    .replace('level: error', 'level: info');
  writeFileSync(path, text);
  const main = fileURLToPath(new URL('../../src/main.js', import.meta.url));
  const entry = spawn(process.execPath, [main, '--config', path]);
  t.after(() => entry.kill('SIGKILL'));
  let lines = '';
  entry.stdout.on('data', (chunk: Buffer) => {
    lines += String(chunk);
  });
  const waitForLine = (pattern: RegExp): Promise<void> =>
    waitUntil(() => pattern.test(lines), String(pattern));
  await waitForLine(/event=entry_started/);

  writeFileSync(path, text.replace('listen:', 'lisen:'));
  entry.kill('SIGHUP');
  await waitForLine(/event=settings_refused .*line=\d+ column=\d+ .*lisen/);

  writeFileSync(path, text.replace('maxQueued: 256', 'maxQueued: 99'));
  entry.kill('SIGHUP');
  await waitForLine(/event=settings_need_restart fields=requests\n/);

  entry.kill('SIGTERM');
  assert.deepEqual(await once(entry, 'exit'), [0, null]);
  assert.match(lines, /event=entry_stopped/);
});
