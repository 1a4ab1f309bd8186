import type {Finding, TextPosition} from '../errors/finding.js';
import {createError, type RuleField, type RuleLine} from './rule_line.js';
import type {RuleSource} from './rule_set.js';
import {suggestWord} from './suggest.js';

/** Bounds of a number, both inclusive. */
export interface NumberRange {
  readonly min: number;
  readonly max: number;
  readonly isInteger: boolean;
}

/** Stands for any model, version or kind in an `allow` rule. */
export const ANY = '*';

const MAX_NAME_LENGTH = 64;
const NAME = /^[\p{L}\p{N}][\p{L}\p{M}\p{N} ._:+-]*$/u;
const DECIMAL = /^\d{1,12}(\.\d{1,9})?$/;
const PERCENT = /^(\d{1,3}(?:\.\d{1,6})?)%$/;
const FLAGS: ReadonlyMap<string, boolean> = new Map([
  ['yes', true],
  ['no', false],
]);

/**
 * Reads the typed fields of one rule line. A faulty field is reported and
 * read as a neutral value, so that one fault gives one finding.
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
    const {place, who, why} = this.line;
    return {line: place.line, who, why};
  }

  /** True when a finding was reported for this line. */
  get isFaulty(): boolean {
    return this.findings.length > 0 || this.line.findings.length > 0;
  }

  /** Place of a field's value, or of the verb when the field is missing. */
  placeOf(key: string): TextPosition {
    return this.fields.get(key)?.valuePlace ?? this.line.place;
  }

  has(key: string): boolean {
    return this.fields.has(key);
  }

  /** Names a key that the verb takes, though this line does not read it. */
  declareKey(key: string): void {
    this.knownKeys.add(key);
  }

  /** Reads a required name; empty when it is missing or malformed. */
  readName(key: string): string {
    const field = this.readRequired(key);
    if (field === undefined) return '';
    return this.checkName(field.value, key, field.valuePlace);
  }

  /** Reads a required name or `*`. */
  readNameOrAny(key: string): string {
    return this.fields.get(key)?.value === ANY
      ? (this.readRequired(key)?.value ?? '')
      : this.readName(key);
  }

  /** Reads a required list of names separated by commas. */
  readNames(key: string): readonly string[] {
    const field = this.readRequired(key);
    if (field === undefined) return [];
    return field.value
      .split(',')
      .map(part => this.checkName(part.trim(), key, field.valuePlace));
  }

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
      field.valuePlace,
      'bad_number',
      `${key} must be a ${noun} from ${range.min} to ${range.max}, not ${quote(field.value)}`,
    );
    return range.min;
  }

  /** Reads a share as `5%` or `0.05`. */
  readShare(key: string): number {
    const field = this.readRequired(key);
    if (field === undefined) return 0;
    const share = parseShare(field.value);
    if (share === undefined) {
      this.report(
        field.valuePlace,
        'bad_share',
        `${key} must be a percentage or a number from 0 to 1, not ${quote(field.value)}`,
        'write for instance 5%',
      );
      return 0;
    }
    if (share <= 1) return share;
    this.report(
      field.valuePlace,
      'share_over_one',
      `${key} ${quote(field.value)} is more than 100%`,
      hintForShare(field.value, share),
    );
    return 0;
  }

  /** Reads an optional `yes` or `no`. */
  readFlag(key: string, defaultValue: boolean): boolean {
    return this.readWord(key, FLAGS, defaultValue);
  }

  /** Reads an optional word of a closed list. */
  readWord<T>(key: string, values: ReadonlyMap<string, T>, defaultValue: T): T {
    this.knownKeys.add(key);
    const field = this.fields.get(key);
    if (field === undefined) return defaultValue;
    const value = values.get(field.value);
    if (value !== undefined) return value;
    const words = [...values.keys()];
    this.report(
      field.valuePlace,
      'bad_word',
      `${key} must be ${words.join(' or ')}, not ${quote(field.value)}`,
      suggestWord(field.value, words),
    );
    return defaultValue;
  }

  /** Reports a fault of a field. */
  report(
    place: TextPosition,
    code: string,
    message: string,
    hint?: string,
  ): void {
    this.findings.push(createError(place, code, message, hint));
  }

  /** Reports the keys that were not read and returns every finding. */
  finish(): readonly Finding[] {
    for (const field of this.fields.values()) {
      if (this.knownKeys.has(field.key)) continue;
      this.report(
        field.keyPlace,
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
      field.keyPlace,
      'duplicate_key',
      `the key ${quote(field.key)} stands twice`,
      'keep one',
    );
  }

  private readRequired(key: string): RuleField | undefined {
    this.knownKeys.add(key);
    const field = this.fields.get(key);
    if (field === undefined && !this.line.isIncomplete) {
      this.report(
        this.line.place,
        'missing_key',
        `${this.line.verb} needs ${key}=`,
      );
    }
    return field;
  }

  private checkName(value: string, key: string, place: TextPosition): string {
    const fault = findNameFault(value);
    if (fault === undefined) return value;
    this.report(place, 'bad_name', `${key} ${fault}, got ${quote(value)}`);
    return '';
  }
}

/** Quotes a piece of the file for a message, shortened where it is long. */
export function quote(text: string): string {
  const shown =
    text.length > MAX_NAME_LENGTH ? `${text.slice(0, MAX_NAME_LENGTH)}…` : text;
  return `"${shown}"`;
}

function findNameFault(value: string): string | undefined {
  if (value === ANY) return 'must be a name; * is not allowed here';
  if (value.length > MAX_NAME_LENGTH) {
    return `must have at most ${MAX_NAME_LENGTH} characters`;
  }
  if (!NAME.test(value) || value !== value.trim()) {
    return 'must be letters, digits, spaces and ._:+- and begin with a letter or digit';
  }
  return value === value.normalize('NFC')
    ? undefined
    : 'must be in Unicode form NFC';
}

function parseShare(text: string): number | undefined {
  const percent = PERCENT.exec(text);
  if (percent !== null) return Number(percent[1]) / 100;
  return DECIMAL.test(text) ? Number(text) : undefined;
}

function hintForShare(text: string, share: number): string {
  const isPercentWithoutSign = !text.endsWith('%') && share <= 100;
  return isPercentWithoutSign ? `did you mean "${text}%"?` : 'use at most 100%';
}
