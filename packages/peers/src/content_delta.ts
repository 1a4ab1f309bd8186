/** Lines that replace those between a common start and end of a base text. */
export interface LineDelta {
  readonly prefixLines: number;
  readonly suffixLines: number;
  readonly replacement: string;
}

/**
 * Creates the delta that turns `base` into `text`.
 *
 * @example
 * ```ts
 * createLineDelta('a\nb\nc', 'a\nx\nc');
 * // {prefixLines: 1, suffixLines: 1, replacement: 'x\n'}
 * ```
 */
export function createLineDelta(base: string, text: string): LineDelta {
  const from = base.split('\n');
  const to = text.split('\n');
  const limit = Math.min(from.length, to.length);
  let prefixLines = 0;
  while (prefixLines < limit && from[prefixLines] === to[prefixLines]) {
    prefixLines += 1;
  }
  let suffixLines = 0;
  while (
    suffixLines < limit - prefixLines &&
    from[from.length - 1 - suffixLines] === to[to.length - 1 - suffixLines]
  ) {
    suffixLines += 1;
  }
  const middle = to.slice(prefixLines, to.length - suffixLines);
  // A line feed ends each replaced line, which tells none from one empty line.
  const replacement = middle.map(line => `${line}\n`).join('');
  return {prefixLines, suffixLines, replacement};
}

/**
 * Applies a delta made by {@link createLineDelta} to its base.
 *
 * @example
 * ```ts
 * applyLineDelta('a\nb\nc', delta); // 'a\nx\nc'
 * ```
 */
export function applyLineDelta(base: string, delta: LineDelta): string {
  const from = base.split('\n');
  const {prefixLines, suffixLines, replacement} = delta;
  return [
    ...from.slice(0, prefixLines),
    ...replacement.split('\n').slice(0, -1),
    ...from.slice(from.length - suffixLines),
  ].join('\n');
}
