import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

const START_TIMEOUT_MS = 15_000;

/** A started process whose ready line was seen. */
export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Capture groups of the ready pattern. */
  readonly ready: readonly string[];
  readonly lines: readonly string[];
}

/** Options of {@link ProcessGroup.start}. */
export interface StartOptions {
  readonly name: string;
  /** Path of the program and its arguments. */
  readonly command: readonly string[];
  /** Matches the line that says the process is ready. */
  readonly readyPattern: RegExp;
}

/** Processes started together and ended together, each by its own pid. */
export class ProcessGroup {
  private readonly started: StartedProcess[] = [];

  private constructor() {}

  static create(): ProcessGroup {
    return new ProcessGroup();
  }

  /** Starts a Node.js program and waits for its ready line. */
  async start(options: StartOptions): Promise<StartedProcess> {
    const child = spawn(process.execPath, [...options.command], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const lines: string[] = [];
    const ready = new Promise<readonly string[]>((resolve, reject) => {
      const timer = setTimeout(() => {
        reject(new Error(`${options.name} did not start: ${lines.join('\n')}`));
      }, START_TIMEOUT_MS);
      const onLine = (line: string): void => {
        lines.push(line);
        const match = options.readyPattern.exec(line);
        if (match === null) return;
        clearTimeout(timer);
        resolve(match.slice(1));
      };
      createInterface({input: child.stdout}).on('line', onLine);
      createInterface({input: child.stderr}).on('line', onLine);
      child.once('exit', code => {
        clearTimeout(timer);
        reject(
          new Error(`${options.name} exited ${code}: ${lines.join('\n')}`),
        );
      });
    });
    const entry = {name: options.name, child, ready: await ready, lines};
    this.started.push(entry);
    return entry;
  }

  /** Sends SIGTERM and waits for the exit code. */
  async stop(started: StartedProcess): Promise<number | null> {
    if (started.child.exitCode !== null) return started.child.exitCode;
    const exited = once(started.child, 'exit');
    started.child.kill('SIGTERM');
    const [code] = (await exited) as [number | null];
    return code;
  }

  /** Ends everything that still runs. */
  async killAll(): Promise<void> {
    await Promise.all(
      this.started.map(async ({child}) => {
        if (child.exitCode !== null || child.signalCode !== null) return;
        const exited = once(child, 'exit');
        child.kill('SIGKILL');
        await exited;
      }),
    );
  }
}
