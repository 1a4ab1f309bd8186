import assert from 'node:assert/strict';
import {existsSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {test} from 'node:test';
import {EXIT_CODES, runCli, type CliIo} from '@anvilrudder/cli';
import {
  ROOT,
  listMarkdown,
  readCommands,
  readRelativeLinks,
  splitArguments,
} from './doc_files.js';

/** Pages that other branches add; empty once they are merged. */
const AWAITED_PAGES: readonly string[] = [
  'docs/CAPACITY.md',
  'docs/PROOFS.md',
  'docs/MEASUREMENTS.md',
  'docs/config/entry.md',
  'docs/guide/tls_and_keys.md',
];
const GUIDE_FOLDERS = ['docs/guide', 'docs/operators'];
const PROGRAM = 'anvilrudder';
// Begins as `rules show` writes it, so that its base revision is known.
const RULE_FILE =
  '# revision 1\nmodel name=quick version=v1 cost-per-mtok=1 quality=0.5 # Kim: first\n';
// The files of the guide exist, and its commands reach no entry.
const UNREACHABLE_ENTRY = 'http://127.0.0.1:1';
const RUN_CODES: ReadonlySet<number> = new Set([
  EXIT_CODES.ok,
  EXIT_CODES.refused,
  EXIT_CODES.unreachable,
  EXIT_CODES.undecided,
]);

interface RecordedIo extends CliIo {
  errors: string;
}

function createIo(): RecordedIo {
  return {
    errors: '',
    env: {
      ANVILRUDDER_ENTRIES: UNREACHABLE_ENTRY,
      ANVILRUDDER_TOKEN: 'token',
    },
    isTerminal: false,
    writeOutput: () => undefined,
    writeError(text) {
      this.errors += text;
    },
    readFile: async () => RULE_FILE,
    createInterruptSignal: () => AbortSignal.abort(),
  };
}

async function findFault(command: string): Promise<string | undefined> {
  const io = createIo();
  const [, ...args] = splitArguments(command);
  const exitCode = await runCli(args, io);
  return RUN_CODES.has(exitCode) ? undefined : `${exitCode}: ${io.errors}`;
}

test('each command of the guide is taken by the command line', async () => {
  const commands = GUIDE_FOLDERS.flatMap(listMarkdown).flatMap(path =>
    readCommands(path, PROGRAM).map(command => ({path, command})),
  );
  assert.ok(commands.length > 0);
  for (const {path, command} of commands) {
    const fault = await findFault(command);
    assert.equal(fault, undefined, `${path}: ${command}`);
  }
});

test('a command or option that does not exist is found', async () => {
  const wrong = [
    'anvilrudder rules aply my.rules',
    'anvilrudder rules status --al',
    'anvilrudder audit --who',
    'anvilrudder versions stop quick@v2',
  ];
  for (const command of wrong) {
    assert.notEqual(await findFault(command), undefined, command);
  }
});

test('each relative link of the docs leads to a file', () => {
  const pages = ['README.md', 'DEVELOPERS.md', ...listMarkdown('docs')];
  const missing = pages.flatMap(page =>
    readRelativeLinks(page)
      .map(link => join(dirname(page), link))
      .filter(target => !AWAITED_PAGES.includes(target))
      .filter(target => !existsSync(join(ROOT, target)))
      .map(target => `${page} -> ${target}`),
  );
  assert.deepEqual(missing, []);
});
