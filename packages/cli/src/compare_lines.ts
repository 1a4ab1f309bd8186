/** A line that is in only one of two texts. Line numbers start at 1. */
export interface LineChange {
  readonly sign: '-' | '+';
  readonly lineNumber: number;
  readonly text: string;
}

/**
 * Maximum size of the table of the longest common subsequence. Beyond it, all
 * lines between the common prefix and suffix are listed as changed.
 */
const MAX_TABLE_CELLS = 4_000_000;

/**
 * Lists the lines that were removed and added between two texts.
 *
 * @example
 * ```ts
 * compareLines('a\nb', 'a\nc');
 * // [{sign: '-', lineNumber: 2, text: 'b'}, {sign: '+', lineNumber: 2, text: 'c'}]
 * ```
 */
export function compareLines(
  before: string,
  after: string,
): readonly LineChange[] {
  const oldLines = before.split('\n');
  const newLines = after.split('\n');
  const prefixLength = countEqualLines(
    oldLines,
    newLines,
    (lines, i) => lines[i],
  );
  const oldRest = oldLines.slice(prefixLength);
  const newRest = newLines.slice(prefixLength);
  const suffixLength = countEqualLines(oldRest, newRest, (lines, i) =>
    lines.at(-1 - i),
  );
  const oldMiddle = oldRest.slice(0, oldRest.length - suffixLength);
  const newMiddle = newRest.slice(0, newRest.length - suffixLength);
  return compareMiddle(oldMiddle, newMiddle, prefixLength + 1);
}

function countEqualLines(
  a: readonly string[],
  b: readonly string[],
  selectLine: (lines: readonly string[], index: number) => string | undefined,
): number {
  const max = Math.min(a.length, b.length);
  let count = 0;
  while (count < max && selectLine(a, count) === selectLine(b, count))
    count += 1;
  return count;
}

function compareMiddle(
  oldLines: readonly string[],
  newLines: readonly string[],
  firstNumber: number,
): readonly LineChange[] {
  const isTooLarge = oldLines.length * newLines.length > MAX_TABLE_CELLS;
  const lengths = isTooLarge
    ? undefined
    : computeCommonLengths(oldLines, newLines);
  const changes: LineChange[] = [];
  let oldIndex = 0;
  let newIndex = 0;
  while (oldIndex < oldLines.length || newIndex < newLines.length) {
    const oldLine = oldLines[oldIndex];
    const newLine = newLines[newIndex];
    if (lengths !== undefined && oldLine === newLine) {
      oldIndex += 1;
      newIndex += 1;
      continue;
    }
    const lengthAfterRemoval = lengths?.[oldIndex + 1]?.[newIndex] ?? 0;
    const lengthAfterAddition = lengths?.[oldIndex]?.[newIndex + 1] ?? 0;
    const isRemoval =
      oldIndex < oldLines.length &&
      (newIndex >= newLines.length ||
        lengthAfterRemoval >= lengthAfterAddition);
    if (isRemoval) {
      const lineNumber = firstNumber + oldIndex;
      changes.push({sign: '-', lineNumber, text: oldLine});
      oldIndex += 1;
    } else {
      const lineNumber = firstNumber + newIndex;
      changes.push({sign: '+', lineNumber, text: newLine});
      newIndex += 1;
    }
  }
  return changes;
}

/**
 * Computes the length of the longest common subsequence of each pair of
 * suffixes.
 */
function computeCommonLengths(
  oldLines: readonly string[],
  newLines: readonly string[],
): readonly Uint32Array[] {
  const width = newLines.length + 1;
  const rows = Array.from(
    {length: oldLines.length + 1},
    () => new Uint32Array(width),
  );
  for (let i = oldLines.length - 1; i >= 0; i--) {
    for (let j = newLines.length - 1; j >= 0; j--) {
      rows[i][j] =
        oldLines[i] === newLines[j]
          ? rows[i + 1][j + 1] + 1
          : Math.max(rows[i + 1][j], rows[i][j + 1]);
    }
  }
  return rows;
}
