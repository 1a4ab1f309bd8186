import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {RULES_COMMANDS} from '../src/tables/rules_table.js';
import {TOP_LEVEL_COMMANDS} from '../src/tables/top_level_table.js';
import {runCli} from '../src/index.js';
import {createFakeIo} from './fake_io.js';

const ROOT_URL = new URL('../../../../', import.meta.url);
const EXAMPLES_URL = new URL('examples/', ROOT_URL);

for (const name of ['penbridge.rules', 'lanka.rules']) {
  test(`accepts examples/${name} without findings`, async () => {
    const text = await readFile(new URL(name, EXAMPLES_URL), 'utf8');
    const io = createFakeIo({[name]: text});
    assert.equal(await runCli(['rules', 'check', name], io), 0);
    assert.equal(io.output, `${name}: ok\n`);
  });
}

test('accepts the example in the rule file guide', async () => {
  const url = new URL('docs/guide/rule_file.md', ROOT_URL);
  const page = await readFile(url, 'utf8');
  const rules = /^```rules\n([^`]*)^```/m.exec(page)?.[1] ?? '';
  const io = createFakeIo({f: rules});
  assert.equal(await runCli(['rules', 'check', 'f'], io), 0);
  assert.equal(io.output, 'f: ok\n');
});

test('the command-line guide documents all rules and top-level commands', async () => {
  const url = new URL('docs/guide/command_line.md', ROOT_URL);
  const page = await readFile(url, 'utf8');
  const rulesCommands = Object.keys(RULES_COMMANDS).map(n => `rules ${n}`);
  for (const name of [...rulesCommands, ...Object.keys(TOP_LEVEL_COMMANDS)]) {
    assert.match(page, new RegExp(`^anvilrudder ${name}\\b`, 'm'));
  }
});

const INVALID_RULES = [
  'model name=quick version=v1 cost-per-mtok=0.2 quality=7 # Kim: base',
  'kind name=icebreaker quality=0.6 deadline-ms=8000',
  'alow organisation=hana model=* version=* kind=* # Kim: pilot',
  'allow organisation=hana model=quik version=* kind=icebreaker # Kim: pilot',
  'rollout model=quick version=v1 share=150% # Kim: all',
].join('\n');

test('reports five errors in one file with their positions and hints', async () => {
  const io = createFakeIo({f: INVALID_RULES});
  assert.equal(await runCli(['rules', 'check', 'f'], io), 1);
  assert.deepEqual(io.output.split('\n'), [
    'f:1:55: error: quality must be a number from 0 to 1, not "7"',
    'f:2:50: error: the rule has no comment (end the line with "# who: why")',
    'f:3:1: error: unknown verb "alow" (did you mean "allow"?)',
    'f:4:31: error: no rule declares the model "quik" (did you mean "quick"?)',
    'f:5:38: error: share "150%" is more than 100% (use at most 100%)',
    '5 errors, 0 warnings',
    '',
  ]);
});

test('prints findings as JSON', async () => {
  const io = createFakeIo({f: INVALID_RULES});
  assert.equal(await runCli(['rules', 'check', '--json', 'f'], io), 1);
  const {isValid, findings} = JSON.parse(io.output);
  assert.equal(isValid, false);
  assert.equal(findings.length, 5);
  assert.deepEqual(findings[3], {
    line: 4,
    column: 31,
    severity: 'error',
    code: 'unknown_model',
    message: 'no rule declares the model "quik"',
    hint: 'did you mean "quick"?',
  });
});

test('explains a rule file without calling an entry', async () => {
  const text = await readFile(new URL('lanka.rules', EXAMPLES_URL), 'utf8');
  const scope = ['--organisation', 'mount-lavinia-studio'];
  const args = ['explain', '--file', 'f', ...scope, '--kind'];
  const io = createFakeIo({f: text});
  assert.equal(await runCli([...args, 'casting-brief', '--json'], io), 0);
  const {options} = JSON.parse(io.output);
  const verdicts = options.map(
    (o: {model: string; version: string; verdict: string}) =>
      `${o.model}@${o.version} ${o.verdict}`,
  );
  assert.ok(verdicts.includes('brief@m3 chosen'));
  assert.ok(verdicts.includes('brief@m4 not allowed'));
  assert.ok(verdicts.includes('brief@m2 withdrawn'));
  assert.equal(await runCli([...args, 'nothing'], createFakeIo({f: text})), 1);
});
