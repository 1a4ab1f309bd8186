import type {Finding, TextPosition} from '../errors/finding.js';

/** One `key=value` of a rule line. */
export interface RuleField {
  readonly key: string;
  readonly value: string;
  readonly keyPlace: TextPosition;
  readonly valuePlace: TextPosition;
}

/** A rule line split into its parts, before any meaning is checked. */
export interface RuleLine {
  readonly verb: string;
  readonly place: TextPosition;
  readonly fields: readonly RuleField[];
  readonly who: string;
  readonly why: string;
  /** True when the fields after a fault could not be read. */
  readonly isIncomplete: boolean;
  readonly findings: readonly Finding[];
}

/** Longest line of a rule file, in UTF-16 code units. */
export const MAX_LINE_LENGTH = 4096;

const SPACES = /[ \t]*/y;
const WORD = /[^\s"#=]+/y;
const BARE_VALUE = /[^\s"#]*/y;
const QUOTED_VALUE = /"([^"]*)"/y;
const BEFORE_COMMENT = /^(?:[^"#]|"[^"]*")*/;
const PURE_COMMENT = /^[ \t]*(#|$)/;
// Control characters, line separators and characters that reorder text.
const FORBIDDEN =
  // eslint-disable-next-line no-control-regex
  /[\u0000-\u0008\u000b-\u001f\u007f-\u009f\u200e\u200f\u2028-\u202e\u2066-\u2069\ufeff]/;

/** True for blank lines and for lines that hold only a comment. */
export function isIgnoredLine(text: string): boolean {
  return PURE_COMMENT.test(text);
}

/** Returns a rule line without its comment. */
export function stripComment(text: string): string {
  return (BEFORE_COMMENT.exec(text)?.[0] ?? '').trim();
}

/** Finds what makes a line unfit for any reading: its length or a character. */
export function checkLineText(
  text: string,
  lineNumber: number,
): Finding | undefined {
  if (text.length > MAX_LINE_LENGTH) {
    return createError(
      {line: lineNumber, column: MAX_LINE_LENGTH + 1},
      'line_too_long',
      `the line is longer than ${MAX_LINE_LENGTH} characters`,
    );
  }
  const index = text.search(FORBIDDEN);
  if (index < 0) return undefined;
  const codePoint = text.charCodeAt(index).toString(16).padStart(4, '0');
  return createError(
    {line: lineNumber, column: index + 1},
    'forbidden_character',
    `the line holds the invisible character U+${codePoint}`,
    'remove it',
  );
}

/**
 * Splits `verb key=value … # who: why` into its parts.
 *
 * @example
 * ```ts
 * splitRuleLine('drain model=quick version=v2 # Kim: old', 1).verb; // 'drain'
 * ```
 */
export function splitRuleLine(text: string, lineNumber: number): RuleLine {
  return LineScanner.create(text, lineNumber).scan();
}

/** Creates an error finding. */
export function createError(
  place: TextPosition,
  code: string,
  message: string,
  hint?: string,
): Finding {
  return createFinding('error', place, code, message, hint);
}

/** Creates a warning finding. */
export function createWarning(
  place: TextPosition,
  code: string,
  message: string,
  hint?: string,
): Finding {
  return createFinding('warning', place, code, message, hint);
}

function createFinding(
  severity: Finding['severity'],
  place: TextPosition,
  code: string,
  message: string,
  hint: string | undefined,
): Finding {
  const finding = {place, severity, code, message};
  return hint === undefined ? finding : {...finding, hint};
}

class LineScanner {
  private position = 0;
  private isIncomplete = false;
  private readonly findings: Finding[] = [];

  private constructor(
    private readonly text: string,
    private readonly lineNumber: number,
  ) {}

  static create(text: string, lineNumber: number): LineScanner {
    return new LineScanner(text, lineNumber);
  }

  scan(): RuleLine {
    this.take(SPACES);
    const place = this.place();
    const verb = this.take(WORD) ?? '';
    const fields = this.scanFields();
    const {who, why} = this.scanComment();
    const {isIncomplete, findings} = this;
    return {verb, place, fields, who, why, isIncomplete, findings};
  }

  private scanFields(): readonly RuleField[] {
    const fields: RuleField[] = [];
    for (;;) {
      this.take(SPACES);
      if (this.position >= this.text.length || this.peek() === '#') break;
      const field = this.scanField();
      if (field === undefined) break;
      fields.push(field);
    }
    return fields;
  }

  /** Returns undefined when the rest of the line can't be split. */
  private scanField(): RuleField | undefined {
    const keyPlace = this.place();
    const key = this.take(WORD);
    if (key === undefined || this.peek() !== '=') {
      this.report(
        keyPlace,
        'malformed_field',
        `expected key=value at ${JSON.stringify(key ?? this.peek())}`,
        'put values with spaces in double quotes',
      );
      this.skipToComment();
      return undefined;
    }
    this.position += 1;
    const valuePlace = this.place();
    const value = this.scanValue(valuePlace);
    return value === undefined ? undefined : {key, value, keyPlace, valuePlace};
  }

  private scanValue(valuePlace: TextPosition): string | undefined {
    if (this.peek() !== '"') return this.take(BARE_VALUE) ?? '';
    const quoted = this.take(QUOTED_VALUE);
    if (quoted !== undefined) return quoted.slice(1, -1);
    this.report(
      valuePlace,
      'unterminated_quote',
      'the quoted value has no closing quote',
      'add "',
    );
    this.skipToComment();
    return undefined;
  }

  private scanComment(): {readonly who: string; readonly why: string} {
    const place = this.place();
    if (this.peek() !== '#') {
      this.report(
        place,
        'missing_comment',
        'the rule has no comment',
        'end the line with "# who: why"',
      );
      return {who: '', why: ''};
    }
    const comment = this.text.slice(this.position + 1);
    const colon = comment.indexOf(':');
    const who = comment.slice(0, Math.max(colon, 0)).trim();
    const why = comment.slice(colon + 1).trim();
    if (who === '' || why === '') {
      this.report(
        place,
        'malformed_comment',
        'the comment does not say who asked for the rule and why',
        'write "# who: why"',
      );
    }
    return {who, why};
  }

  private skipToComment(): void {
    this.isIncomplete = true;
    const hash = this.text.indexOf('#', this.position);
    this.position = hash < 0 ? this.text.length : hash;
  }

  private take(pattern: RegExp): string | undefined {
    pattern.lastIndex = this.position;
    const match = pattern.exec(this.text);
    if (match === null) return undefined;
    this.position = pattern.lastIndex;
    return match[0];
  }

  private peek(): string {
    return this.text.charAt(this.position);
  }

  private place(): TextPosition {
    return {line: this.lineNumber, column: this.position + 1};
  }

  private report(
    place: TextPosition,
    code: string,
    message: string,
    hint: string,
  ) {
    this.findings.push(createError(place, code, message, hint));
  }
}
