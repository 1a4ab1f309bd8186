import {z} from 'zod';
import {SETTINGS_SCHEMA} from './settings_schema.js';

/** One setting, as shown in the settings reference. */
export interface SettingDescription {
  /** Path in the settings file; `[]` stands for each element of a list. */
  readonly path: string;
  readonly type: string;
  /** Default as YAML, `required` or empty for an optional setting. */
  readonly defaultValue: string;
  readonly unit: string;
  readonly meaning: string;
}

interface JsonSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly string[];
  readonly format?: string;
  readonly pattern?: string;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly items?: JsonSchema;
}

const UNITS_BY_SUFFIX: ReadonlyArray<readonly [string, string]> = [
  ['Ms', 'ms'],
  ['Bytes', 'bytes'],
  ['PerS', '1/s'],
  ['Tokens', 'tokens'],
];

const TYPES_BY_PATTERN: ReadonlyMap<string, string> = new Map([
  ['^\\S+:\\d+$', '`ip:port`'],
  ['^[0-9a-f]{64}$', '64 hex digits'],
  ['^[a-z0-9][a-z0-9._-]{0,62}$', 'name'],
]);

const HEADER: readonly string[] = [
  'setting',
  'type',
  'default',
  'unit',
  'meaning',
];

const INTRODUCTION = `# Settings of an entry

All settings in the YAML file of \`anvilrudder-entry --config FILE\`. This page is
generated from the schema by \`npm run docs:config\`; a test checks that it is up
to date.

A \`name\` consists of 1 to 63 lower-case letters, digits and \`._-\`, and begins
with a letter or digit. \`[]\` stands for each element of a list. Relative paths
are relative to the working directory of the process. \`--check\` reads only the
settings file; the files that it refers to need not exist. Changes of
\`organisations\`, \`operators\`, \`sessions\` and \`log\` take effect when the file
changes, all other changes after a restart; see the guide
[TLS and keys](../guide/tls_and_keys.md).
`;

/**
 * Lists every setting of the schema, in the order of the schema.
 *
 * @example
 * ```ts
 * listSettings()[0].path; // 'host'
 * ```
 */
export function listSettings(): readonly SettingDescription[] {
  const schema = z.toJSONSchema(SETTINGS_SCHEMA, {io: 'input'}) as JsonSchema;
  return listFields(schema, '');
}

/**
 * Formats the reference of all settings as Markdown.
 *
 * @example
 * ```ts
 * await writeFile('docs/config/entry.md', formatSettingsPage());
 * ```
 */
export function formatSettingsPage(): string {
  const rows = listSettings().map(setting => [
    `\`${setting.path}\``,
    setting.type,
    setting.defaultValue,
    setting.unit,
    setting.meaning,
  ]);
  return `${INTRODUCTION}\n${formatTable([HEADER, ...rows])}\n`;
}

function listFields(
  schema: JsonSchema,
  prefix: string,
): readonly SettingDescription[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
    const isRequired = schema.required?.includes(name) ?? false;
    return describeField(`${prefix}${name}`, field, isRequired);
  });
}

function describeField(
  path: string,
  field: JsonSchema,
  isRequired: boolean,
): readonly SettingDescription[] {
  const {items} = field;
  const nested = items?.properties === undefined ? field : items;
  const isList = nested !== field;
  const children = listFields(nested, isList ? `${path}[].` : `${path}.`);
  if (children.length > 0 && field.description === undefined) return children;
  const own = {
    path,
    type: describeType(field),
    defaultValue: describeDefault(field, isRequired),
    unit: findUnit(path),
    meaning: field.description ?? '',
  };
  return [own, ...children];
}

function describeType(field: JsonSchema): string {
  const {type = '', items, pattern = '', format} = field;
  if (items !== undefined) return `list of ${describeType(items)}`;
  if (field.enum !== undefined) {
    return field.enum.map(value => `\`${value}\``).join(', ');
  }
  if (type === 'object') return 'section';
  if (format === 'uri') return 'URL';
  return TYPES_BY_PATTERN.get(pattern) ?? type;
}

function describeDefault(field: JsonSchema, isRequired: boolean): string {
  if (isRequired) return 'required';
  if (field.default === undefined || field.properties !== undefined) return '';
  return `\`${JSON.stringify(field.default)}\``;
}

function findUnit(path: string): string {
  return UNITS_BY_SUFFIX.find(([suffix]) => path.endsWith(suffix))?.[1] ?? '';
}

function formatTable(rows: ReadonlyArray<readonly string[]>): string {
  const widths = rows[0].map((_, column) =>
    Math.max(...rows.map(row => row[column].length)),
  );
  const formatRow = (row: readonly string[]): string =>
    `| ${row.map((cell, i) => cell.padEnd(widths[i])).join(' | ')} |`;
  const separator = formatRow(widths.map(width => '-'.repeat(width)));
  const [header, ...body] = rows;
  return [formatRow(header), separator, ...body.map(formatRow)].join('\n');
}
