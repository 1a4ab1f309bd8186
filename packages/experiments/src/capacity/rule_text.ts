const FIXED_LINES: readonly string[] = [
  'model name=quick version=v1 cost-per-mtok=0.2 quality=0.7',
  'model name=quick version=v2 cost-per-mtok=0.3 quality=0.8',
  'model name=deep version=v1 cost-per-mtok=2 quality=0.9',
  'kind name=icebreaker quality=0.6 deadline-ms=8000 session=yes',
  'kind name=reason quality=0.85 deadline-ms=8000',
];
const COMMENT = '# Kim: agreement of the spring term';

/**
 * Creates a valid rule file of `lineCount` lines. `change` selects the one `allow`
 * rule that differs from the others, so that successive values give new texts.
 *
 * @example
 * ```ts
 * createRuleText(200, 1);
 * ```
 */
export function createRuleText(lineCount: number, change: number): string {
  const changed = change % (lineCount - FIXED_LINES.length);
  const allowRules = Array.from(
    {length: lineCount - FIXED_LINES.length},
    (_, index) => {
      const isChanged = index === changed;
      const model = isChanged
        ? `quick version=v${1 + (change % 2)}`
        : 'deep version=*';
      return `allow organisation=school-${index} model=${model} kind=*`;
    },
  );
  return [...FIXED_LINES, ...allowRules]
    .map(line => `${line} ${COMMENT}`)
    .join('\n');
}
