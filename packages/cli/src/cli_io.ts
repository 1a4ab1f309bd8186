import {readFile} from 'node:fs/promises';
import type {Writable} from 'node:stream';

/** The environment, files and streams that a command uses. */
export interface CliIo {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** True when stderr is a terminal. */
  readonly isTerminal: boolean;
  writeOutput(text: string): void;
  writeError(text: string): void;
  readFile(path: string): Promise<string>;
  /**
   * Creates a signal that is aborted when the operator interrupts the command.
   */
  createInterruptSignal(): AbortSignal;
}

/** Creates the {@link CliIo} of the running process. */
export function createProcessIo(): CliIo {
  ignoreClosedPipe(process.stdout);
  ignoreClosedPipe(process.stderr);
  return {
    env: process.env,
    isTerminal: process.stderr.isTTY === true,
    writeOutput: text => process.stdout.write(text),
    writeError: text => process.stderr.write(text),
    readFile: path => readFile(path, 'utf8'),
    createInterruptSignal() {
      const controller = new AbortController();
      process.once('SIGINT', () => controller.abort());
      return controller.signal;
    },
  };
}

// A reader such as `head` may close the pipe before the output ends.
function ignoreClosedPipe(stream: Writable): void {
  stream.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code !== 'EPIPE') throw error;
  });
}
