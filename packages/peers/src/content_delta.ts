/**
 * Replaces the lines of a base text between the prefix and the suffix that it
 * has in common with the new text.
 */
export interface LineDelta {
  readonly prefixLines: number;
  readonly suffixLines: number;
  readonly replacement: string;
}

/**
 * Creates the delta that changes `base` into `text`.
 *
 * @example
 * ```ts
 * createLineDelta('a\nb\nc', 'a\nx\nc');
 * // {prefixLines: 1, suffixLines: 1, replacement: 'x\n'}
 * ```
 */
export function createLineDelta(base: string, text: string): LineDelta {
  const baseLines = base.split('\n');
  const newLines = text.split('\n');
  const limit = Math.min(baseLines.length, newLines.length);
  let prefixLines = 0;
  while (
    prefixLines < limit &&
    baseLines[prefixLines] === newLines[prefixLines]
  ) {
    prefixLines += 1;
  }
  let suffixLines = 0;
  while (
    suffixLines < limit - prefixLines &&
    baseLines[baseLines.length - 1 - suffixLines] ===
      newLines[newLines.length - 1 - suffixLines]
  ) {
    suffixLines += 1;
  }
  const replacementLines = newLines.slice(
    prefixLines,
    newLines.length - suffixLines,
  );
  // Each replacement line ends with a line feed, so that no lines and one empty
  // line are encoded differently.
  const replacement = replacementLines.map(line => `${line}\n`).join('');
  return {prefixLines, suffixLines, replacement};
}

/**
 * Applies a delta created by {@link createLineDelta} to its base text.
 *
 * @example
 * ```ts
 * applyLineDelta('a\nb\nc', delta); // 'a\nx\nc'
 * ```
 */
export function applyLineDelta(base: string, delta: LineDelta): string {
  const baseLines = base.split('\n');
  const {prefixLines, suffixLines, replacement} = delta;
  return [
    ...baseLines.slice(0, prefixLines),
    ...replacement.split('\n').slice(0, -1),
    ...baseLines.slice(baseLines.length - suffixLines),
  ].join('\n');
}
