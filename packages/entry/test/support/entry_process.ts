import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {dirname, join} from 'node:path';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

const MAIN = join(dirname(fileURLToPath(import.meta.url)), '../../src/main.js');
const READY = /event=entry_started callerAddress=(\S+) peerAddress=(\S+)/;
const START_TIMEOUT_MS = 30_000;

/** One run of an entry as a process of its own. */
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
   * @param onSpawn takes the process at once, so that it can be ended even
   *   when the start fails.
   */
  static async start(
    host: string,
    configFile: string,
    onSpawn: (child: ChildProcess) => void,
  ): Promise<EntryProcess> {
    const child = spawn(process.execPath, [MAIN, '--config', configFile], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    onSpawn(child);
    const lines: string[] = [];
    const ready = new Promise<RegExpExecArray>((resolve, reject) => {
      const fail = (why: string): void =>
        reject(new Error(`${host} ${why}: ${lines.slice(-10).join('\n')}`));
      const timer = setTimeout(() => fail('is not ready'), START_TIMEOUT_MS);
      const readLine = (line: string): void => {
        lines.push(line);
        const match = READY.exec(line);
        if (match === null) return;
        clearTimeout(timer);
        resolve(match);
      };
      createInterface({input: child.stdout}).on('line', readLine);
      createInterface({input: child.stderr}).on('line', readLine);
      child.once('exit', code => {
        clearTimeout(timer);
        fail(`exited with ${code}`);
      });
    });
    const [, callerAddress, peerAddress] = await ready;
    return new EntryProcess(host, callerAddress, peerAddress, child);
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    await endProcess(this.child);
  }

  /** Pauses the process; its connections stay open. */
  pause(): void {
    this.child.kill('SIGSTOP');
  }

  resume(): void {
    this.child.kill('SIGCONT');
  }

  /** Asks for a graceful shutdown and resolves to the exit code. */
  async stop(): Promise<number | null> {
    const exited = once(this.child, 'exit');
    this.child.kill('SIGTERM');
    const [code] = (await exited) as [number | null];
    return code;
  }
}

/** Ends a process, paused or not, if it still runs. */
export async function endProcess(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const exited = once(child, 'exit');
  child.kill('SIGKILL');
  await exited;
}
