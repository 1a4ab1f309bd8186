/** Value of a log field. */
export type LogValue = string | number | boolean | undefined;

/** Fields of one log event; undefined ones are omitted. */
export type LogFields = Readonly<Record<string, LogValue>>;

const UNQUOTED_VALUE = /^[A-Za-z0-9_.:/@+,;-]+$/;
const LINE_FIELD = /([A-Za-z0-9_]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)/gy;

/**
 * Formats fields as one `key=value` line. Values with special characters are
 * quoted as JSON strings, so that the result is always a single line that
 * {@link parseKeyValueLine} can parse.
 *
 * @example
 * ```ts
 * formatKeyValueLine({event: 'request_settled', tokens: 12, note: 'a "b"'});
 * // 'event=request_settled tokens=12 note="a \\"b\\""'
 * ```
 */
export function formatKeyValueLine(fields: LogFields): string {
  const parts: string[] = [];
  for (const [key, value] of Object.entries(fields)) {
    if (value === undefined) continue;
    parts.push(`${normalizeKey(key)}=${formatValue(value)}`);
  }
  return parts.join(' ');
}

/**
 * Parses a line written by {@link formatKeyValueLine}. All values are returned
 * as strings.
 *
 * @throws SyntaxError when the line is not a list of `key=value` fields.
 * @example
 * ```ts
 * parseKeyValueLine('event=started port=80'); // {event: 'started', port: '80'}
 * ```
 */
export function parseKeyValueLine(
  line: string,
): Readonly<Record<string, string>> {
  const fields: Array<[string, string]> = [];
  let position = 0;
  while (position < line.length) {
    LINE_FIELD.lastIndex = position;
    const match = LINE_FIELD.exec(line);
    if (match === null) {
      throw new SyntaxError(
        `Expected a key=value field at column ${position + 1}.`,
      );
    }
    fields.push([match[1], parseValue(match[2])]);
    position = LINE_FIELD.lastIndex;
    if (position < line.length && line[position] !== ' ') {
      throw new SyntaxError(`Expected a space at column ${position + 1}.`);
    }
    position += 1;
  }
  return Object.fromEntries(fields);
}

function normalizeKey(key: string): string {
  const normalized = key.replace(/[^A-Za-z0-9_]/g, '_');
  return normalized === '' ? '_' : normalized;
}

function formatValue(value: string | number | boolean): string {
  const text = String(value);
  if (UNQUOTED_VALUE.test(text)) return text;
  return JSON.stringify(text).replace(
    /[\u007f-\uffff]/g,
    char => `\\u${char.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}

function parseValue(text: string): string {
  return text.startsWith('"') ? (JSON.parse(text) as string) : text;
}
