import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {after, afterEach, before, beforeEach, describe, test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {runCli} from '../src/index.js';
import {FakeDeployment, TOKEN} from './fake_deployment.js';
import {createFakeIo, type FakeIo} from './fake_io.js';
import {ADDED_LINE, CHANGED_CONTENT, CONTENT} from './sample_content.js';

const INVALID_RULES = 'alow x=y # a: b';

describe('commands against running entries', () => {
  let deployment: FakeDeployment;
  let urls: readonly string[];

  beforeEach(async () => {
    deployment = FakeDeployment.create(CONTENT);
    urls = [await deployment.startEntry(), await deployment.startEntry()];
  });

  afterEach(() => deployment.stop());

  function createIo(files: Readonly<Record<string, string>> = {}): FakeIo {
    return createFakeIo(files, {
      ANVILRUDDER_ENTRIES: urls.join(','),
      ANVILRUDDER_TOKEN: TOKEN,
    });
  }

  test('applies an edited copy of the shown rules without the option --base', async () => {
    const shown = createIo();
    assert.equal(await runCli(['rules', 'show'], shown), 0);
    assert.equal(shown.output, `# revision 1\n${CONTENT}`);
    const io = createIo({f: `${shown.output}${ADDED_LINE}\n`});
    const args = ['rules', 'apply', 'f', '--why', 'fair', '--who', 'kim'];
    const exitCode = await runCli(
      [...args, '--without', 'e9', '--without=e8'],
      io,
    );
    assert.equal(exitCode, 0);
    assert.equal(io.output, 'accepted as revision 2\n');
    const [{changeId, ...change}] = deployment.accepted;
    assert.deepEqual(change, {
      who: 'kim',
      why: 'fair',
      content: CHANGED_CONTENT,
      baseRevision: 1,
      withoutHosts: ['e9', 'e8'],
    });
    assert.equal(io.errors, `change id ${changeId}, base revision 1\n`);
  });

  test('rejects a file without a revision line unless --base is given', async () => {
    const io = createIo({f: CHANGED_CONTENT});
    assert.equal(await runCli(['rules', 'apply', 'f', '--why', 'x'], io), 2);
    assert.match(io.errors, /base revision is not known/);
    const latest = createIo({f: CHANGED_CONTENT});
    const args = ['rules', 'apply', 'f', '--why', 'x', '--base', 'latest'];
    assert.equal(await runCli(args, latest), 0);
  });

  test('does not submit a file with errors', async () => {
    const io = createIo({f: INVALID_RULES});
    const args = ['rules', 'apply', 'f', '--why', 'x', '--base', '1', '--json'];
    assert.equal(await runCli(args, io), 1);
    const {state, findings} = JSON.parse(io.output);
    assert.equal(state, 'refused');
    assert.equal(findings[0].hint, 'did you mean "allow"?');
    assert.equal(deployment.outcomes.size, 0);
  });

  test("rejects another operator's name and unknown tokens", async () => {
    const args = ['rules', 'apply', 'f', '--why', 'x', '--base', '1'];
    const io = createIo({f: CHANGED_CONTENT});
    assert.equal(await runCli([...args, '--who', 'lee'], io), 2);
    assert.match(io.errors, /The token belongs to kim/);
    const unknownTokenIo = createIo({f: CHANGED_CONTENT, t: 'other-token\n'});
    const exitCode = await runCli(
      [...args, '--token-file', 't'],
      unknownTokenIo,
    );
    assert.equal(exitCode, 2);
    assert.equal(deployment.outcomes.size, 0);
  });

  test('prints the changed lines and the warnings of a file', async () => {
    const edited = CHANGED_CONTENT.replace('quality=0.6', 'quality=0.8');
    const io = createIo({f: `# revision 1\n${edited}`});
    assert.equal(await runCli(['rules', 'diff', 'f'], io), 0);
    assert.deepEqual(io.output.split('\n'), [
      'compared with revision 1',
      '-2: kind name=icebreaker quality=0.6 deadline-ms=8000 # Kim: base',
      '+3: kind name=icebreaker quality=0.8 deadline-ms=8000 # Kim: base',
      `+5: ${ADDED_LINE}`,
      'f:3:1: warning: no version open to "hana" meets the quality target 0.8 of "icebreaker" (allow a better version or lower the target)',
      '0 errors, 1 warnings',
      '',
    ]);
  });

  test('status exits with 0 only if every entry answers and agrees', async () => {
    const io = createIo();
    assert.equal(await runCli(['rules', 'status'], io), 0);
    assert.match(io.output, /^entry-1 {2}1 {9}abcdef012345 {2}by store/m);
    assert.match(io.output, /^entry-1 {2}fd-a/m);
    const partialIo = createIo();
    const entries = ['--entry', urls[0], '--entry=http://127.0.0.1:1'];
    const args = ['rules', 'status', '--json', ...entries];
    assert.equal(await runCli(args, partialIo), 1);
    const report = JSON.parse(partialIo.output);
    assert.equal(report.isSettled, false);
    assert.equal(report.entries.length, 1);
    assert.equal(report.failures.length, 1);
  });

  test('prints the revision, a change, the audit trail and an explanation', async () => {
    const apply = ['rules', 'apply', 'f', '--why', 'fair', '--base', '1'];
    const io = createIo({f: CHANGED_CONTENT});
    assert.equal(await runCli([...apply, '--change-id', 'c-1'], io), 0);
    const revision = createIo();
    await runCli(['rules', 'show', '--revision'], revision);
    assert.equal(revision.output, '2\n');
    const change = createIo();
    assert.equal(await runCli(['rules', 'change', 'c-1'], change), 0);
    assert.equal(await runCli(['rules', 'change', 'c-2'], createIo()), 4);
    const audit = createIo();
    assert.equal(await runCli(['audit', '--json'], audit), 0);
    assert.equal(JSON.parse(audit.output).id, 'c-1');
    const explained = createIo();
    const scope = ['--organisation', 'hana', '--kind', 'icebreaker'];
    assert.equal(await runCli(['explain', ...scope], explained), 0);
    assert.match(explained.output, /^quick@v1 .* chosen$/m);
  });

  test('follows the audit trail until it is interrupted', async () => {
    const io = createIo();
    const writeOutput = io.writeOutput.bind(io);
    io.writeOutput = text => {
      writeOutput(text);
      if (text !== '') io.interrupt.abort();
    };
    const following = runCli(['audit', '--follow'], io);
    deployment.apply({
      changeId: 'c-1',
      who: 'kim',
      why: 'a\u001b[2Jb',
      content: CHANGED_CONTENT,
      baseRevision: 1,
      withoutHosts: [],
    });
    assert.equal(await following, 0);
    assert.equal(
      io.output,
      '1 2027-01-15T08:00:00.000Z entry-1 apply 1->2 accepted by kim: a�[2Jb [c-1]\n',
    );
  });
});

const USAGE_ERRORS: ReadonlyArray<readonly [readonly string[], RegExp]> = [
  [[], /USAGE/],
  [['rules', 'chek'], /Unknown command chek/],
  [['constructor'], /unknown command/],
  [['rules', 'check'], /FILE/],
  [
    ['rules', 'check', 'a', 'b', '--nope'],
    /unknown option --nope\nunexpected argument "b"/,
  ],
  [['rules', 'check', 'missing'], /can't read missing/],
  [['rules', 'apply', 'f', '--why', '--json'], /--why needs a value/],
  [['rules', 'status'], /no entry is given.*\nno operator token is given/],
  [['rules', 'status', '--entry', 'ftp://x'], /not an http or https URL/],
  [['audit', '--limit', '0'], /--limit must be a whole number/],
  [['explain', '--kind', 'x'], /--organisation is required/],
];

for (const [args, expected] of USAGE_ERRORS) {
  test(`a usage error exits with 2: ${args.join(' ')}`, async () => {
    const env = args.includes('--limit')
      ? {ANVILRUDDER_ENTRIES: 'http://127.0.0.1:1', ANVILRUDDER_TOKEN: 'x'}
      : undefined;
    const io = createFakeIo({f: CONTENT}, env);
    assert.equal(await runCli(args, io), 2);
    assert.match(io.errors, expected);
    assert.equal(io.output, '');
  });
}

test('prints the usage of a command', async () => {
  const io = createFakeIo();
  assert.equal(await runCli(['rules', 'apply', '--help'], io), 0);
  assert.match(io.output, /--without=<host>/);
});

describe('the binary', () => {
  const main = fileURLToPath(new URL('../src/main.js', import.meta.url));
  let folder: string;

  before(async () => {
    folder = await mkdtemp(join(tmpdir(), 'anvilrudder-cli-'));
    await writeFile(join(folder, 'good.rules'), CONTENT);
    await writeFile(join(folder, 'bad.rules'), INVALID_RULES);
  });

  after(() => rm(folder, {recursive: true}));

  const CASES: ReadonlyArray<readonly [string, number]> = [
    ['rules check good.rules', 0],
    ['rules check bad.rules', 1],
    ['rules check', 2],
    ['rules show --entry http://127.0.0.1:1', 3],
  ];

  for (const [line, expected] of CASES) {
    test(`exits with ${expected}: ${line}`, async () => {
      const args = [main, ...line.split(' ')];
      const env = {...process.env, ANVILRUDDER_TOKEN: 'x'};
      const exitCode = await new Promise(resolve => {
        execFile(process.execPath, args, {cwd: folder, env}, error =>
          resolve(error?.code ?? 0),
        );
      });
      assert.equal(exitCode, expected);
    });
  }
});
