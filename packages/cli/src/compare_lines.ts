/** A line that only one of two texts has; numbers count from 1. */
export interface LineChange {
  readonly sign: '-' | '+';
  readonly lineNumber: number;
  readonly text: string;
}

/** Largest product of line counts that is compared line by line. */
const MAX_CELLS = 4_000_000;

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
  const head = countEqual(oldLines, newLines, (lines, i) => lines[i]);
  const oldRest = oldLines.slice(head);
  const newRest = newLines.slice(head);
  const tail = countEqual(oldRest, newRest, (lines, i) => lines.at(-1 - i));
  const oldMiddle = oldRest.slice(0, oldRest.length - tail);
  const newMiddle = newRest.slice(0, newRest.length - tail);
  return compareMiddle(oldMiddle, newMiddle, head + 1);
}

function countEqual(
  a: readonly string[],
  b: readonly string[],
  pick: (lines: readonly string[], index: number) => string | undefined,
): number {
  const max = Math.min(a.length, b.length);
  let count = 0;
  while (count < max && pick(a, count) === pick(b, count)) count += 1;
  return count;
}

function compareMiddle(
  oldLines: readonly string[],
  newLines: readonly string[],
  firstNumber: number,
): readonly LineChange[] {
  const isTooLarge = oldLines.length * newLines.length > MAX_CELLS;
  const lengths = isTooLarge ? undefined : measureCommon(oldLines, newLines);
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
    const down = lengths?.[oldIndex + 1]?.[newIndex] ?? 0;
    const right = lengths?.[oldIndex]?.[newIndex + 1] ?? 0;
    const isRemoval =
      oldIndex < oldLines.length &&
      (newIndex >= newLines.length || down >= right);
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

/** Lengths of the longest common subsequences of all pairs of suffixes. */
function measureCommon(
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
