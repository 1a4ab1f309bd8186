import type {CliIo} from '../src/index.js';

/** A {@link CliIo} with files in memory that records the output. */
export interface FakeIo extends CliIo {
  output: string;
  errors: string;
  readonly interrupt: AbortController;
}

/** Creates a {@link FakeIo} with the given files and environment. */
export function createFakeIo(
  files: Readonly<Record<string, string>> = {},
  env: Readonly<Record<string, string>> = {},
  isTerminal = false,
): FakeIo {
  const interrupt = new AbortController();
  return {
    output: '',
    errors: '',
    interrupt,
    env,
    isTerminal,
    writeOutput(text) {
      this.output += text;
    },
    writeError(text) {
      this.errors += text;
    },
    async readFile(path) {
      if (Object.hasOwn(files, path)) return files[path];
      throw new Error('no such file');
    },
    createInterruptSignal: () => interrupt.signal,
  };
}
