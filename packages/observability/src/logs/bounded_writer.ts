/** A stream that reports how much of its data is still buffered. */
export interface LineSink {
  readonly writableLength: number;
  write(text: string): unknown;
}

/** Maximum buffered output for a slow reader. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/**
 * Creates a writer that never blocks: while more than 1 MiB is buffered for a
 * slow reader, lines are dropped.
 *
 * @param onDrop called for each dropped line.
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
