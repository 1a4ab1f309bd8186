import {stat} from 'node:fs/promises';

/** Default period at which watched files are checked. */
export const FILE_CHECK_PERIOD_MS = 1000;

/** Options of {@link FileWatcher.create}. */
export interface FileWatcherOptions {
  readonly paths: readonly string[];
  readonly periodMs?: number;
}

/**
 * Detects changed files by polling their modification times, sizes and inodes.
 * Unlike change notifications, polling also detects files that are replaced
 * through symbolic links, and needs no support by the file system.
 */
export class FileWatcher {
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  private constructor(
    private readonly paths: readonly string[],
    private readonly periodMs: number,
    private lastState: string,
  ) {}

  /**
   * Creates a watcher. Changes after this call are detected, so create the
   * watcher before reading the files for the first time.
   *
   * @example
   * ```ts
   * const watcher = await FileWatcher.create({paths: ['entry.yaml']});
   * watcher.start(reload);
   * ```
   */
  static async create(options: FileWatcherOptions): Promise<FileWatcher> {
    const {paths, periodMs = FILE_CHECK_PERIOD_MS} = options;
    return new FileWatcher(paths, periodMs, await readFileStates(paths));
  }

  /** Calls the listener after each change, one call at a time. */
  start(onChange: () => Promise<void>): void {
    if (this.isStopped) return;
    this.timer = setTimeout(() => {
      void this.check(onChange).then(() => this.start(onChange));
    }, this.periodMs);
    this.timer.unref();
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private async check(onChange: () => Promise<void>): Promise<void> {
    const state = await readFileStates(this.paths);
    if (this.isStopped || state === this.lastState) return;
    this.lastState = state;
    await onChange();
  }
}

async function readFileStates(paths: readonly string[]): Promise<string> {
  return (await Promise.all(paths.map(readFileState))).join('\n');
}

async function readFileState(path: string): Promise<string> {
  try {
    const {mtimeMs, size, ino} = await stat(path);
    return `${mtimeMs} ${size} ${ino}`;
  } catch {
    return 'missing';
  }
}
