import type {CliIo} from './cli_io.js';

const PROGRESS_INTERVAL_MS = 1000;
const CLEAR_LINE = '\r\u001b[K';

/** Displays on stderr what a command is waiting for. */
export interface Progress {
  /** Sets the text, which is first shown after one second of waiting. */
  update(text: string): void;
  /** Stops the display and clears its line on a terminal. */
  stop(): void;
}

/** A progress display that shows nothing. */
export const SILENT_PROGRESS: Progress = {update() {}, stop() {}};

/**
 * Creates a progress display. On a terminal, one line is rewritten every
 * second. Otherwise a line is printed every second if `isForced` is set, and
 * nothing is shown if it is not.
 */
export function createProgress(io: CliIo, isForced: boolean): Progress {
  if (!io.isTerminal && !isForced) return SILENT_PROGRESS;
  return LineProgress.create(io);
}

class LineProgress implements Progress {
  private text = '';
  private isShown = false;
  private timer: NodeJS.Timeout | undefined;
  private readonly startMs = performance.now();

  private constructor(private readonly io: CliIo) {}

  static create(io: CliIo): LineProgress {
    return new LineProgress(io);
  }

  update(text: string): void {
    this.text = text;
    this.timer ??= setInterval(() => this.show(), PROGRESS_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.timer = undefined;
    if (this.isShown && this.io.isTerminal) this.io.writeError(CLEAR_LINE);
    this.isShown = false;
  }

  private show(): void {
    this.isShown = true;
    const elapsedS = Math.floor((performance.now() - this.startMs) / 1000);
    const line = `${this.text} (${elapsedS} s)`;
    const isTerminal = this.io.isTerminal;
    this.io.writeError(isTerminal ? `${CLEAR_LINE}${line}` : `${line}\n`);
  }
}
