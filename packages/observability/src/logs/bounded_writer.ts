/** Where lines go; a stream that says how much it has not written yet. */
export interface LineSink {
  readonly writableLength: number;
  write(text: string): unknown;
}

/** Text that may wait for a slow reader. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/**
 * Creates a writer that never waits: while too much text waits for a slow
 * reader, further lines are dropped.
 *
 * @param onDrop told of each dropped line.
 * @example
 * ```ts
 * const writeLine = createBoundedWriter(process.stdout, () => { dropped += 1; });
 * ```
 */
export function createBoundedWriter(
  sink: LineSink,
  onDrop: () => void,
): (line: string) => void {
  return line => {
    if (sink.writableLength > MAX_BUFFERED_BYTES) onDrop();
    else sink.write(line);
  };
}
