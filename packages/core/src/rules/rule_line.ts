import type {Finding, TextPosition} from '../errors/finding.js';

/** A `key=value` field of a rule line. */
export interface RuleField {
  readonly key: string;
  readonly value: string;
  readonly keyPosition: TextPosition;
  readonly valuePosition: TextPosition;
}

/** A rule line split into its parts; only the syntax is checked. */
export interface RuleLine {
  readonly verb: string;
  readonly position: TextPosition;
  readonly fields: readonly RuleField[];
  readonly who: string;
  readonly why: string;
  /** True when a syntax error prevented reading the remaining fields. */
  readonly isIncomplete: boolean;
  readonly findings: readonly Finding[];
}

/** Maximum length of a line of a rule file, in UTF-16 code units. */
export const MAX_LINE_LENGTH = 4096;

const SPACES = /[ \t]*/y;
const WORD = /[^\s"#=]+/y;
const BARE_VALUE = /[^\s"#]*/y;
const QUOTED_VALUE = /"([^"]*)"/y;
const BEFORE_COMMENT = /^(?:[^"#]|"[^"]*")*/;
const BLANK_OR_COMMENT = /^[ \t]*(#|$)/;
// Control characters, line separators and bidirectional formatting characters,
// which change the order in which text is displayed.
const FORBIDDEN_CHARACTER =
  // eslint-disable-next-line no-control-regex
  /[\u0000-\u0008\u000b-\u001f\u007f-\u009f\u200e\u200f\u2028-\u202e\u2066-\u2069\ufeff]/;

/** Returns true for blank lines and for lines with only a comment. */
export function isIgnoredLine(text: string): boolean {
  return BLANK_OR_COMMENT.test(text);
}

/** Returns a rule line without its comment. */
export function stripComment(text: string): string {
  return (BEFORE_COMMENT.exec(text)?.[0] ?? '').trim();
}

/** Reports a line that is too long or has a forbidden character. */
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
  const index = text.search(FORBIDDEN_CHARACTER);
  if (index < 0) return undefined;
  const codePoint = text.charCodeAt(index).toString(16).padStart(4, '0');
  return createError(
    {line: lineNumber, column: index + 1},
    'forbidden_character',
    `the line contains the invisible character U+${codePoint}`,
    'remove it',
  );
}

/**
 * Splits a line of the form `verb key=value … # who: why` into its parts.
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
  position: TextPosition,
  code: string,
  message: string,
  hint?: string,
): Finding {
  return createFinding('error', position, code, message, hint);
}

/** Creates a warning finding. */
export function createWarning(
  position: TextPosition,
  code: string,
  message: string,
  hint?: string,
): Finding {
  return createFinding('warning', position, code, message, hint);
}

function createFinding(
  severity: Finding['severity'],
  position: TextPosition,
  code: string,
  message: string,
  hint: string | undefined,
): Finding {
  const finding = {position, severity, code, message};
  return hint === undefined ? finding : {...finding, hint};
}

class LineScanner {
  private offset = 0;
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
    this.consume(SPACES);
    const position = this.getPosition();
    const verb = this.consume(WORD) ?? '';
    const fields = this.scanFields();
    const {who, why} = this.scanComment();
    const {isIncomplete, findings} = this;
    return {verb, position, fields, who, why, isIncomplete, findings};
  }

  private scanFields(): readonly RuleField[] {
    const fields: RuleField[] = [];
    for (;;) {
      this.consume(SPACES);
      if (this.offset >= this.text.length || this.peek() === '#') break;
      const field = this.scanField();
      if (field === undefined) break;
      fields.push(field);
    }
    return fields;
  }

  /** Returns undefined when the rest of the line can't be parsed. */
  private scanField(): RuleField | undefined {
    const keyPosition = this.getPosition();
    const key = this.consume(WORD);
    if (key === undefined || this.peek() !== '=') {
      this.report(
        keyPosition,
        'malformed_field',
        `expected key=value at ${JSON.stringify(key ?? this.peek())}`,
        'put values with spaces in double quotes',
      );
      this.skipToComment();
      return undefined;
    }
    this.offset += 1;
    const valuePosition = this.getPosition();
    const value = this.scanValue(valuePosition);
    return value === undefined
      ? undefined
      : {key, value, keyPosition, valuePosition};
  }

  private scanValue(valuePosition: TextPosition): string | undefined {
    if (this.peek() !== '"') return this.consume(BARE_VALUE) ?? '';
    const quoted = this.consume(QUOTED_VALUE);
    if (quoted !== undefined) return quoted.slice(1, -1);
    this.report(
      valuePosition,
      'unterminated_quote',
      'the quoted value has no closing quote',
      'add "',
    );
    this.skipToComment();
    return undefined;
  }

  private scanComment(): {readonly who: string; readonly why: string} {
    const position = this.getPosition();
    if (this.peek() !== '#') {
      this.report(
        position,
        'missing_comment',
        'the rule has no comment',
        'end the line with "# who: why"',
      );
      return {who: '', why: ''};
    }
    const comment = this.text.slice(this.offset + 1);
    const colon = comment.indexOf(':');
    const who = comment.slice(0, Math.max(colon, 0)).trim();
    const why = comment.slice(colon + 1).trim();
    if (who === '' || why === '') {
      this.report(
        position,
        'malformed_comment',
        'the comment does not say who asked for the rule and why',
        'write "# who: why"',
      );
    }
    return {who, why};
  }

  private skipToComment(): void {
    this.isIncomplete = true;
    const hash = this.text.indexOf('#', this.offset);
    this.offset = hash < 0 ? this.text.length : hash;
  }

  private consume(pattern: RegExp): string | undefined {
    pattern.lastIndex = this.offset;
    const match = pattern.exec(this.text);
    if (match === null) return undefined;
    this.offset = pattern.lastIndex;
    return match[0];
  }

  private peek(): string {
    return this.text.charAt(this.offset);
  }

  private getPosition(): TextPosition {
    return {line: this.lineNumber, column: this.offset + 1};
  }

  private report(
    position: TextPosition,
    code: string,
    message: string,
    hint: string,
  ) {
    this.findings.push(createError(position, code, message, hint));
  }
}
