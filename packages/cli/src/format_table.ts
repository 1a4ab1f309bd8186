const COLUMN_GAP = '  ';
// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u001f\u007f-\u009f]/g;

/**
 * Formats rows as columns padded to equal width. Control characters are
 * replaced, as cells may hold text that an operator of another team wrote.
 *
 * @example
 * ```ts
 * formatTable(['host', 'revision'], [['entry-1', '7']]);
 * // 'host     revision\nentry-1  7\n'
 * ```
 */
export function formatTable(
  header: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const cells = [header, ...rows].map(row => row.map(replaceControls));
  const widths = header.map((_, column) =>
    Math.max(...cells.map(row => (row[column] ?? '').length)),
  );
  return cells
    .map(row => row.map((cell, column) => cell.padEnd(widths[column])))
    .map(row => `${row.join(COLUMN_GAP).trimEnd()}\n`)
    .join('');
}

/** Replaces control characters, which could drive a terminal. */
export function replaceControls(text: string): string {
  return text.replace(CONTROL_CHARACTERS, '�');
}
