import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

const START_TIMEOUT_MS = 15_000;

/** A process that has printed its ready line. */
export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Capture groups of the ready pattern in the ready line. */
  readonly readyCaptures: readonly string[];
  /** Lines of stdout and stderr so far. */
  readonly outputLines: readonly string[];
}

/** Options of {@link ProcessGroup.start}. */
export interface StartOptions {
  readonly name: string;
  /** Path of the program and its arguments. */
  readonly command: readonly string[];
  /** Matches the line that the process prints when it is ready. */
  readonly readyPattern: RegExp;
}

/** Child processes that are killed together, each by its own pid. */
export class ProcessGroup {
  private readonly started: StartedProcess[] = [];

  private constructor() {}

  static create(): ProcessGroup {
    return new ProcessGroup();
  }

  /**
   * Starts a Node.js program and waits for its ready line.
   *
   * @throws Error with the output so far, if the program exits first or isn't
   * ready within 15 s.
   */
  async start(options: StartOptions): Promise<StartedProcess> {
    const child = spawn(process.execPath, [...options.command], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const lines: string[] = [];
    const ready = new Promise<readonly string[]>((resolve, reject) => {
      const timer = setTimeout(() => {
        reject(
          new Error(
            `${options.name} was not ready in time: ${lines.join('\n')}`,
          ),
        );
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
          new Error(
            `${options.name} exited with code ${code} before it was ready: ${lines.join('\n')}`,
          ),
        );
      });
    });
    const startedProcess = {
      name: options.name,
      child,
      readyCaptures: await ready,
      outputLines: lines,
    };
    this.started.push(startedProcess);
    return startedProcess;
  }

  /** Sends SIGTERM and waits for the exit code; null after a signal. */
  async stop(started: StartedProcess): Promise<number | null> {
    if (started.child.exitCode !== null) return started.child.exitCode;
    const exited = once(started.child, 'exit');
    started.child.kill('SIGTERM');
    const [code] = (await exited) as [number | null];
    return code;
  }

  /** Kills all processes that still run, with SIGKILL. */
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
