import type {Finding, TextPosition} from '../errors/finding.js';
import {createError, type RuleField, type RuleLine} from './rule_line.js';
import type {RuleSource} from './rule_set.js';
import {suggestWord} from './suggest.js';

/** Inclusive bounds of a number. */
export interface NumberRange {
  readonly min: number;
  readonly max: number;
  readonly isInteger: boolean;
}

/** Matches any model, version or kind in an `allow` rule. */
export const WILDCARD = '*';

const MAX_NAME_LENGTH = 64;
const NAME = /^[\p{L}\p{N}][\p{L}\p{M}\p{N} ._:+-]*$/u;
const DECIMAL = /^\d{1,12}(\.\d{1,9})?$/;
const PERCENT = /^(\d{1,3}(?:\.\d{1,6})?)%$/;
const FLAGS: ReadonlyMap<string, boolean> = new Map([
  ['yes', true],
  ['no', false],
]);

/**
 * Reads the typed fields of one rule line. An invalid field is reported and a
 * placeholder such as the empty name is returned, so that one mistake gives one
 * finding and not several.
 */
export class FieldReader {
  private readonly fields = new Map<string, RuleField>();
  private readonly knownKeys = new Set<string>();
  private readonly findings: Finding[] = [];

  private constructor(private readonly line: RuleLine) {}

  static create(line: RuleLine): FieldReader {
    const reader = new FieldReader(line);
    for (const field of line.fields) reader.addField(field);
    return reader;
  }

  get source(): RuleSource {
    const {position, who, why} = this.line;
    return {line: position.line, who, why};
  }

  /** True when a finding was reported for this line. */
  get hasFindings(): boolean {
    return this.findings.length > 0 || this.line.findings.length > 0;
  }

  /** Position of a field's value, or of the verb if the field is missing. */
  getPosition(key: string): TextPosition {
    return this.fields.get(key)?.valuePosition ?? this.line.position;
  }

  has(key: string): boolean {
    return this.fields.has(key);
  }

  /** Marks a key as valid for the verb although it is not read. */
  addKnownKey(key: string): void {
    this.knownKeys.add(key);
  }

  /** Reads a required name; returns '' if it is missing or invalid. */
  readName(key: string): string {
    const field = this.readRequired(key);
    if (field === undefined) return '';
    return this.checkName(field.value, key, field.valuePosition);
  }

  /** Reads a required name or `*`. */
  readNameOrWildcard(key: string): string {
    return this.fields.get(key)?.value === WILDCARD
      ? (this.readRequired(key)?.value ?? '')
      : this.readName(key);
  }

  /** Reads a required comma-separated list of names. */
  readNames(key: string): readonly string[] {
    const field = this.readRequired(key);
    if (field === undefined) return [];
    return field.value
      .split(',')
      .map(part => this.checkName(part.trim(), key, field.valuePosition));
  }

  /** Reads a required number; returns the minimum if missing or invalid. */
  readNumber(key: string, range: NumberRange): number {
    const field = this.readRequired(key);
    if (field === undefined) return range.min;
    const value = Number(field.value);
    const isValid =
      DECIMAL.test(field.value) &&
      value >= range.min &&
      value <= range.max &&
      (!range.isInteger || Number.isInteger(value));
    if (isValid) return value;
    const noun = range.isInteger ? 'whole number' : 'number';
    this.report(
      field.valuePosition,
      'bad_number',
      `${key} must be a ${noun} from ${range.min} to ${range.max}, not ${quote(field.value)}`,
    );
    return range.min;
  }

  /** Reads a required share, written as `5%` or `0.05`. */
  readShare(key: string): number {
    const field = this.readRequired(key);
    if (field === undefined) return 0;
    const share = parseShare(field.value);
    if (share === undefined) {
      this.report(
        field.valuePosition,
        'bad_share',
        `${key} must be a percentage or a number from 0 to 1, not ${quote(field.value)}`,
        'for example 5%',
      );
      return 0;
    }
    if (share <= 1) return share;
    this.report(
      field.valuePosition,
      'share_over_one',
      `${key} ${quote(field.value)} is more than 100%`,
      createShareHint(field.value, share),
    );
    return 0;
  }

  /** Reads an optional `yes` or `no`. */
  readFlag(key: string, defaultValue: boolean): boolean {
    return this.readWord(key, FLAGS, defaultValue);
  }

  /** Reads an optional word, which must be one of the given values. */
  readWord<T>(key: string, values: ReadonlyMap<string, T>, defaultValue: T): T {
    this.knownKeys.add(key);
    const field = this.fields.get(key);
    if (field === undefined) return defaultValue;
    const value = values.get(field.value);
    if (value !== undefined) return value;
    const words = [...values.keys()];
    this.report(
      field.valuePosition,
      'bad_word',
      `${key} must be ${words.join(' or ')}, not ${quote(field.value)}`,
      suggestWord(field.value, words),
    );
    return defaultValue;
  }

  /** Adds an error finding for this line. */
  report(
    position: TextPosition,
    code: string,
    message: string,
    hint?: string,
  ): void {
    this.findings.push(createError(position, code, message, hint));
  }

  /**
   * Reports the unknown keys and returns all findings of the fields. Called
   * after the fields are read, as reading a key makes it known.
   */
  finish(): readonly Finding[] {
    for (const field of this.fields.values()) {
      if (this.knownKeys.has(field.key)) continue;
      this.report(
        field.keyPosition,
        'unknown_key',
        `${this.line.verb} has no key ${quote(field.key)}`,
        suggestWord(field.key, this.knownKeys) ??
          `known keys: ${[...this.knownKeys].join(', ')}`,
      );
    }
    return this.findings;
  }

  private addField(field: RuleField): void {
    if (!this.fields.has(field.key)) {
      this.fields.set(field.key, field);
      return;
    }
    this.report(
      field.keyPosition,
      'duplicate_key',
      `the key ${quote(field.key)} is given twice`,
      'keep one',
    );
  }

  private readRequired(key: string): RuleField | undefined {
    this.knownKeys.add(key);
    const field = this.fields.get(key);
    if (field === undefined && !this.line.isIncomplete) {
      this.report(
        this.line.position,
        'missing_key',
        `${this.line.verb} needs ${key}=`,
      );
    }
    return field;
  }

  private checkName(
    value: string,
    key: string,
    position: TextPosition,
  ): string {
    const problem = describeNameProblem(value);
    if (problem === undefined) return value;
    this.report(position, 'bad_name', `${key} ${problem}, got ${quote(value)}`);
    return '';
  }
}

/** Quotes a text for a message; texts over 64 characters are truncated. */
export function quote(text: string): string {
  const shown =
    text.length > MAX_NAME_LENGTH ? `${text.slice(0, MAX_NAME_LENGTH)}…` : text;
  return `"${shown}"`;
}

function describeNameProblem(value: string): string | undefined {
  if (value === WILDCARD) return 'must be a name; * is not allowed here';
  if (value.length > MAX_NAME_LENGTH) {
    return `must have at most ${MAX_NAME_LENGTH} characters`;
  }
  if (!NAME.test(value) || value !== value.trim()) {
    return 'must contain only letters, digits, spaces and ._:+- and begin with a letter or digit';
  }
  return value === value.normalize('NFC')
    ? undefined
    : 'must be in Unicode normalization form NFC';
}

function parseShare(text: string): number | undefined {
  const percent = PERCENT.exec(text);
  if (percent !== null) return Number(percent[1]) / 100;
  return DECIMAL.test(text) ? Number(text) : undefined;
}

function createShareHint(text: string, share: number): string {
  const isPercentWithoutSign = !text.endsWith('%') && share <= 100;
  return isPercentWithoutSign ? `did you mean "${text}%"?` : 'use at most 100%';
}
