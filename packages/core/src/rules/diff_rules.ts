import {createHash} from 'node:crypto';
import {MAX_RULE_FILE_BYTES} from './parse_rules.js';

/** Copies `count` lines of the old file, starting at the line index `start`. */
export interface CopyStep {
  readonly start: number;
  readonly count: number;
}

/** Inserts one new line. */
export interface InsertStep {
  readonly line: string;
}

/** One step of building the new file from the old file. */
export type DeltaStep = CopyStep | InsertStep;

/** The steps that build a new rule file from an old one. */
export interface RuleDelta {
  /** SHA-256 of the new file, in hexadecimal. */
  readonly resultDigest: string;
  readonly steps: readonly DeltaStep[];
}

/** JSON form of a step: `[start, count]` for a copy, a string for an insert. */
type EncodedStep = readonly [number, number] | string;

/**
 * Computes the line-level delta between two rule files.
 *
 * @example
 * ```ts
 * const delta = diffRules(before, after);
 * applyDelta(before, delta) === after; // true
 * ```
 */
export function diffRules(before: string, after: string): RuleDelta {
  const beforeLines = before.split('\n');
  const positions = findPositions(beforeLines);
  const steps: DeltaStep[] = [];
  let next = 0;
  for (const line of after.split('\n')) {
    const found =
      beforeLines[next] === line
        ? next
        : findNextPosition(positions.get(line) ?? [], next);
    if (found === undefined) {
      steps.push({line});
      continue;
    }
    addCopy(steps, found);
    next = found + 1;
  }
  return {resultDigest: computeDigest(after), steps};
}

/**
 * Builds the new file from the old file.
 *
 * @returns undefined when the delta was made for another old file, or when the
 * result has more than {@link MAX_RULE_FILE_BYTES} UTF-16 code units.
 * @example
 * ```ts
 * applyDelta(before, diffRules(before, after));
 * ```
 */
export function applyDelta(
  before: string,
  delta: RuleDelta,
): string | undefined {
  const beforeLines = before.split('\n');
  const lines: string[] = [];
  let length = 0;
  for (const step of delta.steps) {
    const added = 'line' in step ? [step.line] : copyLines(beforeLines, step);
    if (added === undefined) return undefined;
    for (const line of added) {
      length += line.length + 1;
      if (length > MAX_RULE_FILE_BYTES + 1) return undefined;
      lines.push(line);
    }
  }
  const after = lines.join('\n');
  return computeDigest(after) === delta.resultDigest ? after : undefined;
}

/**
 * Encodes a delta as compact JSON.
 *
 * @example
 * ```ts
 * encodeDelta(diffRules('a', 'a\nb')); // '{"sha256":"…","steps":[[0,1],"b"]}'
 * ```
 */
export function encodeDelta(delta: RuleDelta): string {
  const steps: readonly EncodedStep[] = delta.steps.map(step =>
    'line' in step ? step.line : [step.start, step.count],
  );
  return JSON.stringify({sha256: delta.resultDigest, steps});
}

/**
 * Decodes the output of {@link encodeDelta}.
 *
 * @returns undefined when the text is not an encoded delta.
 * @example
 * ```ts
 * decodeDelta(encodeDelta(delta)); // equals delta
 * ```
 */
export function decodeDelta(text: string): RuleDelta | undefined {
  const value = parseJson(text);
  if (!isRecord(value)) return undefined;
  const {sha256, steps} = value;
  if (typeof sha256 !== 'string' || !Array.isArray(steps)) return undefined;
  const decoded = steps.map(decodeStep);
  return decoded.every(step => step !== undefined)
    ? {resultDigest: sha256, steps: decoded}
    : undefined;
}

function decodeStep(step: unknown): DeltaStep | undefined {
  if (typeof step === 'string') return {line: step};
  if (!Array.isArray(step) || step.length !== 2) return undefined;
  const [start, count] = step as readonly unknown[];
  return isIndex(start) && isIndex(count) ? {start, count} : undefined;
}

function isIndex(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function computeDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

function findPositions(
  lines: readonly string[],
): ReadonlyMap<string, readonly number[]> {
  const positions = new Map<string, number[]>();
  for (const [index, line] of lines.entries()) {
    const known = positions.get(line);
    if (known === undefined) positions.set(line, [index]);
    else known.push(index);
  }
  return positions;
}

/** Returns the first position at or after `from`, or else the first one. */
function findNextPosition(
  positions: readonly number[],
  from: number,
): number | undefined {
  let low = 0;
  let high = positions.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (positions[middle] < from) low = middle + 1;
    else high = middle;
  }
  return positions[low] ?? positions[0];
}

function addCopy(steps: DeltaStep[], position: number): void {
  const last = steps.at(-1);
  if (last !== undefined && 'count' in last) {
    const {start, count} = last;
    if (start + count === position) {
      steps[steps.length - 1] = {start, count: count + 1};
      return;
    }
  }
  steps.push({start: position, count: 1});
}

function copyLines(
  lines: readonly string[],
  {start, count}: CopyStep,
): readonly string[] | undefined {
  const isInside = start + count <= lines.length;
  return isInside ? lines.slice(start, start + count) : undefined;
}
