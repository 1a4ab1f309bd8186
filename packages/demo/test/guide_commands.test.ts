import assert from 'node:assert/strict';
import {existsSync, readFileSync} from 'node:fs';
import {dirname, extname, join} from 'node:path';
import {test} from 'node:test';
import {EXIT_CODES, runCli, type CliIo} from '@anvilrudder/cli';
import {
  ROOT,
  listMarkdown,
  readCommands,
  readRelativeLinks,
  splitArguments,
} from './doc_files.js';

const GUIDE_FOLDERS = ['docs/guide', 'docs/operators'];
const PROGRAM = 'anvilrudder';
// Begins with the revision comment that `rules show` writes, from which
// `rules apply` takes the base revision.
const RULE_FILE =
  '# revision 1\nmodel name=quick version=v1 cost-per-mtok=1 quality=0.5 # Kim: first\n';
// Commands of the guide can read their files, but reach no entry.
const UNREACHABLE_ENTRY = 'http://127.0.0.1:1';
const ENTRY_OPTION = '--entry';
const CA_FILE = 'packages/entry/test/support/certificates/ca.pem';
const CONTENTS_BY_EXTENSION: Readonly<Record<string, string>> = {
  '.pem': readFileSync(join(ROOT, CA_FILE), 'utf8'),
  '.token': 'token',
};
const VALID_COMMAND_EXIT_CODES: ReadonlySet<number> = new Set([
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
    readFile: async path => CONTENTS_BY_EXTENSION[extname(path)] ?? RULE_FILE,
    createInterruptSignal: () => AbortSignal.abort(),
  };
}

// A page may name entries of a real deployment; the test must not call them.
function replaceEntries(args: readonly string[]): readonly string[] {
  return args.map((arg, index) =>
    args[index - 1] === ENTRY_OPTION ? UNREACHABLE_ENTRY : arg,
  );
}

async function findCommandError(command: string): Promise<string | undefined> {
  const io = createIo();
  const [, ...args] = splitArguments(command);
  const exitCode = await runCli(replaceEntries(args), io);
  return VALID_COMMAND_EXIT_CODES.has(exitCode)
    ? undefined
    : `${exitCode}: ${io.errors}`;
}

test('the command line accepts each command of the guide', async () => {
  const commands = GUIDE_FOLDERS.flatMap(listMarkdown).flatMap(path =>
    readCommands(path, PROGRAM).map(command => ({path, command})),
  );
  assert.ok(commands.length > 0);
  for (const {path, command} of commands) {
    const error = await findCommandError(command);
    assert.equal(error, undefined, `${path}: ${command}`);
  }
});

test('a command or option that does not exist is rejected', async () => {
  const invalidCommands = [
    'anvilrudder rules aply my.rules',
    'anvilrudder rules status --al',
    'anvilrudder audit --who',
    'anvilrudder versions stop quick@v2',
  ];
  for (const command of invalidCommands) {
    assert.notEqual(await findCommandError(command), undefined, command);
  }
});

test('each relative link of the docs points to an existing file', () => {
  const pages = ['README.md', 'DEVELOPERS.md', ...listMarkdown('docs')];
  const missing = pages.flatMap(page =>
    readRelativeLinks(page)
      .map(link => join(dirname(page), link))
      .filter(target => !existsSync(join(ROOT, target)))
      .map(target => `${page} -> ${target}`),
  );
  assert.deepEqual(missing, []);
});
