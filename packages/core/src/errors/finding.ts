/** A place in a text file; line and column count from 1. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** One fault found while checking a file; findings are reported together. */
export interface Finding {
  readonly position: TextPosition;
  readonly severity: 'error' | 'warning';
  /** A stable code such as `unknown_verb`. */
  readonly code: string;
  readonly message: string;
  /** What to write instead, where it is known. */
  readonly hint?: string;
}

/**
 * Formats a finding as `file:line:column: severity: message (hint)`.
 *
 * @example
 * ```ts
 * formatFinding('rules.txt', finding);
 * // 'rules.txt:3:1: error: unknown verb "alow" (did you mean "allow"?)'
 * ```
 */
export function formatFinding(fileName: string, finding: Finding): string {
  const {line, column} = finding.position;
  const hint = finding.hint === undefined ? '' : ` (${finding.hint})`;
  return `${fileName}:${line}:${column}: ${finding.severity}: ${finding.message}${hint}`;
}
