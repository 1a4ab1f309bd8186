import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {createHash} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {parseRules} from '@anvilrudder/core';
import {parseSettings} from '../../src/config/parse_settings.js';

// The compiled tests are in `packages/entry/dist/test/config`.
const ROOT = fileURLToPath(new URL('../../../../../', import.meta.url));
const MAIN = fileURLToPath(new URL('../../src/main.js', import.meta.url));
const run = promisify(execFile);

function readExample(file: string): string {
  return readFileSync(join(ROOT, 'examples', file), 'utf8');
}

for (const name of ['penbridge', 'lanka']) {
  const path = `examples/${name}.yaml`;

  test(`anvilrudder-entry --check accepts ${path}`, async () => {
    const {stdout, stderr} = await run(
      process.execPath,
      [MAIN, '--config', path, '--check'],
      {cwd: ROOT},
    );
    assert.equal(stdout, `${path}: no findings\n`);
    assert.equal(stderr, '');
  });

  test(`${path} has the organisations of its rules, with example keys`, () => {
    const {settings} = parseSettings(readExample(`${name}.yaml`));
    assert.ok(settings !== undefined);
    const {rules} = parseRules(readExample(`${name}.rules`));
    assert.ok(rules !== undefined);
    const allowed = new Set(
      [...readExample(`${name}.rules`).matchAll(/^allow organisation=(\S+)/gm)]
        .map(([, organisation]) => organisation)
        .sort(),
    );
    assert.deepEqual(
      settings.organisations.map(organisation => organisation.name).sort(),
      [...allowed],
    );
    for (const {name: organisation, keySha256} of settings.organisations) {
      const key = `example-key-of-${organisation}`;
      const digest = createHash('sha256').update(key).digest('hex');
      assert.deepEqual(keySha256, [digest]);
    }
    assert.ok(settings.tls.callers !== undefined);
    assert.ok(settings.tls.peers !== undefined);
  });
}

test('the example deployments give different weights to cost and exposure', () => {
  const [penbridge, lanka] = ['penbridge', 'lanka'].map(
    name =>
      parseSettings(readExample(`${name}.yaml`)).settings?.decisions.weights,
  );
  assert.ok(penbridge !== undefined && penbridge.cost > penbridge.exposure);
  assert.ok(lanka !== undefined && lanka.exposure > lanka.cost);
});
