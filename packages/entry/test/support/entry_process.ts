import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {dirname, join} from 'node:path';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const MAIN_FILE = join(
  dirname(fileURLToPath(import.meta.url)),
  '../../src/main.js',
);
const STARTED_LINE =
  /event=entry_started callerAddress=(\S+) peerAddress=(\S+)/;
const START_TIMEOUT_MS = 30_000;

/** An entry that runs in a child process. */
export class EntryProcess {
  private constructor(
    readonly host: string,
    readonly callerAddress: string,
    readonly peerAddress: string,
    private readonly child: ChildProcess,
  ) {}

  /**
   * Starts an entry and waits until it listens.
   *
   * @param onSpawn receives the process as soon as it is spawned, so that it
   *   can be ended even when the start fails.
   */
  static async start(
    host: string,
    configFile: string,
    onSpawn: (child: ChildProcess) => void,
  ): Promise<EntryProcess> {
    const child = spawn(process.execPath, [MAIN_FILE, '--config', configFile], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    onSpawn(child);
    const lines: string[] = [];
    const ready = new Promise<RegExpExecArray>((resolve, reject) => {
      const fail = (reason: string): void =>
        reject(new Error(`${host} ${reason}: ${lines.slice(-10).join('\n')}`));
      const timer = setTimeout(
        () => fail('did not start listening in time'),
        START_TIMEOUT_MS,
      );
      const readLine = (line: string): void => {
        lines.push(line);
        const match = STARTED_LINE.exec(line);
        if (match === null) return;
        clearTimeout(timer);
        resolve(match);
      };
      createInterface({input: child.stdout}).on('line', readLine);
      createInterface({input: child.stderr}).on('line', readLine);
      child.once('exit', code => {
        clearTimeout(timer);
        fail(`exited with code ${code}`);
      });
    });
    const [, callerAddress, peerAddress] = await ready;
    return new EntryProcess(host, callerAddress, peerAddress, child);
  }

  /** Ends the process with SIGKILL. */
  async kill(): Promise<void> {
    await endProcess(this.child);
  }

  /** Pauses the process with SIGSTOP; its connections stay open. */
  pause(): void {
    this.child.kill('SIGSTOP');
  }

  resume(): void {
    this.child.kill('SIGCONT');
  }

  /** Sends SIGTERM for a graceful shutdown and resolves to the exit code. */
  async stop(): Promise<number | null> {
    const exited = once(this.child, 'exit');
    this.child.kill('SIGTERM');
    const [code] = (await exited) as [number | null];
    return code;
  }
}

/** Ends a process if it still runs, also when it is paused. */
export async function endProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const exited = once(child, 'exit');
  child.kill('SIGKILL');
  await exited;
}
