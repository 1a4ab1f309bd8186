const MAX_DISTANCE = 2;
const MAX_WORD_LENGTH = 64;
const MAX_CANDIDATES = 256;

/**
 * Suggests the candidate with the smallest edit distance to a mistyped word,
 * ignoring case.
 *
 * @returns the text of a hint, or undefined when no candidate is within two
 * edits.
 * @example
 * ```ts
 * suggestWord('alow', ['allow', 'drain']); // 'did you mean "allow"?'
 * ```
 */
export function suggestWord(
  word: string,
  candidates: Iterable<string>,
): string | undefined {
  if (word.length > MAX_WORD_LENGTH) return undefined;
  let best: string | undefined;
  let bestDistance = MAX_DISTANCE + 1;
  const lowerWord = word.toLowerCase();
  let seen = 0;
  for (const candidate of candidates) {
    if (seen >= MAX_CANDIDATES) break;
    seen += 1;
    const distance = measureDistance(lowerWord, candidate.toLowerCase());
    if (distance >= bestDistance || distance >= candidate.length) continue;
    best = candidate;
    bestDistance = distance;
  }
  return best === undefined ? undefined : `did you mean "${best}"?`;
}

/**
 * Computes the Levenshtein distance. Any result above the maximum means only
 * that the distance is above it, because only the cells near the diagonal are
 * computed; no other cell can lead to a distance within the maximum.
 */
function measureDistance(a: string, b: string): number {
  const tooFar = MAX_DISTANCE + 1;
  if (Math.abs(a.length - b.length) > MAX_DISTANCE) return tooFar;
  const width = b.length + 1;
  let previous = Array.from({length: width}, (_, column) => column);
  for (let row = 1; row <= a.length; row++) {
    const current = new Array<number>(width).fill(tooFar);
    current[0] = row;
    const first = Math.max(1, row - MAX_DISTANCE);
    const last = Math.min(b.length, row + MAX_DISTANCE);
    for (let column = first; column <= last; column++) {
      const substitution = a[row - 1] === b[column - 1] ? 0 : 1;
      current[column] = Math.min(
        previous[column] + 1,
        current[column - 1] + 1,
        previous[column - 1] + substitution,
      );
    }
    previous = current;
  }
  return previous[b.length];
}
