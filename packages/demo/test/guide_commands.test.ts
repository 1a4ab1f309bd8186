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
// Begins as `rules show` writes it, so that its base revision is known.
const RULE_FILE =
  '# revision 1\nmodel name=quick version=v1 cost-per-mtok=1 quality=0.5 # Kim: first\n';
// The files of the guide exist, and its commands reach no entry.
const UNREACHABLE_ENTRY = 'http://127.0.0.1:1';
const ENTRY_OPTION = '--entry';
const CA_FILE = 'packages/entry/test/support/certificates/ca.pem';
const FILES: Readonly<Record<string, string>> = {
  '.pem': readFileSync(join(ROOT, CA_FILE), 'utf8'),
  '.token': 'token',
};
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
    readFile: async path => FILES[extname(path)] ?? RULE_FILE,
    createInterruptSignal: () => AbortSignal.abort(),
  };
}

// A page may name the entries of a real deployment; none is ever called.
function replaceEntries(args: readonly string[]): readonly string[] {
  return args.map((arg, index) =>
    args[index - 1] === ENTRY_OPTION ? UNREACHABLE_ENTRY : arg,
  );
}

async function findFault(command: string): Promise<string | undefined> {
  const io = createIo();
  const [, ...args] = splitArguments(command);
  const exitCode = await runCli(replaceEntries(args), io);
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
      .filter(target => !existsSync(join(ROOT, target)))
      .map(target => `${page} -> ${target}`),
  );
  assert.deepEqual(missing, []);
});
