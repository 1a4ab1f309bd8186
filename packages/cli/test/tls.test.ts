import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {runCli} from '../src/index.js';
import {FakeDeployment, TOKEN} from './fake_deployment.js';
import {createFakeIo, type FakeIo} from './fake_io.js';

// Relative to the compiled tests in `packages/cli/dist/test`.
const CERTIFICATES = new URL(
  '../../../entry/test/support/certificates/',
  import.meta.url,
);

function readPem(file: string): string {
  return readFileSync(new URL(file, CERTIFICATES), 'utf8');
}

test('an entry is trusted only if a CA in --ca-file or the environment signed its certificate', async t => {
  const deployment = FakeDeployment.create('# no rules\n');
  t.after(() => deployment.stop());
  const url = await deployment.startEntry('none', TOKEN, {
    cert: readPem('entry.pem'),
    key: readPem('entry.key'),
  });
  const files = {
    ca: readPem('ca.pem'),
    other: readPem('other_ca.pem'),
    empty: 'no certificate',
  };
  const show = async (
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
  ): Promise<readonly [number, FakeIo]> => {
    const io = createFakeIo(files, {ANVILRUDDER_TOKEN: TOKEN, ...env});
    const command = ['rules', 'show', '--revision', '--entry', url, ...args];
    return [await runCli(command, io), io];
  };
  const [exitCode, {output}] = await show(['--ca-file', 'ca']);
  assert.deepEqual([exitCode, output], [0, '1\n']);
  assert.equal((await show([], {ANVILRUDDER_CA_FILE: 'ca'}))[0], 0);
  assert.equal((await show(['--ca-file', 'other']))[0], 3);
  assert.equal((await show([]))[0], 3);
  for (const file of ['empty', 'missing']) {
    const [code, {errors}] = await show(['--ca-file', file]);
    assert.equal(code, 2);
    assert.match(errors, new RegExp(`the file ${file} `));
  }
});
