import {stat} from 'node:fs/promises';

/** Time between two looks at watched files. */
export const FILE_CHECK_PERIOD_MS = 1000;

/** Options of {@link FileWatcher.create}. */
export interface FileWatcherOptions {
  readonly paths: readonly string[];
  readonly periodMs?: number;
}

/**
 * Notices changed files by their times, sizes and inodes. Polling also works
 * where files are replaced through symbolic links, and needs no support of
 * the file system.
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
   * Creates a watcher. A change after the call is noticed, so create it
   * before the first read of the files.
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
