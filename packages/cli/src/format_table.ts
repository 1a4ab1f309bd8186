const COLUMN_GAP = '  ';
// eslint-disable-next-line no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u001f\u007f-\u009f]/g;

/**
 * Formats rows as columns that are padded to equal width. Control characters
 * are replaced, since cells may contain text written by operators of other
 * teams.
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
  const cells = [header, ...rows].map(row => row.map(replaceControlCharacters));
  const widths = header.map((_, column) =>
    Math.max(...cells.map(row => (row[column] ?? '').length)),
  );
  return cells
    .map(row => row.map((cell, column) => cell.padEnd(widths[column])))
    .map(row => `${row.join(COLUMN_GAP).trimEnd()}\n`)
    .join('');
}

/** Replaces control characters, which a terminal could execute as commands. */
export function replaceControlCharacters(text: string): string {
  return text.replace(CONTROL_CHARACTERS, '�');
}
