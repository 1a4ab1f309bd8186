import type {Finding, TextPosition} from '@anvilrudder/core';
import {LineCounter, isNode, parseDocument, type Document} from 'yaml';
import type {z} from 'zod';
import {SETTINGS_SCHEMA, type Settings} from './settings_schema.js';

/** Outcome of checking a settings file. */
export interface ParsedSettings {
  /** Undefined when a finding is an error. */
  readonly settings: Settings | undefined;
  readonly findings: readonly Finding[];
}

type SettingsPath = ReadonlyArray<string | number>;

/**
 * Parses and checks the text of a settings file. All findings are reported
 * together, each with its path, line and column.
 *
 * @example
 * ```ts
 * const {settings, findings} = parseSettings(await readFile(path, 'utf8'));
 * ```
 */
export function parseSettings(text: string): ParsedSettings {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, {
    lineCounter,
    maxAliasCount: 0,
  } as never);
  if (document.errors.length > 0) {
    return {
      settings: undefined,
      findings: document.errors.map(error =>
        createFinding(
          toTextPosition(lineCounter, error.pos[0]),
          'invalid_yaml',
          error.message.split('\n')[0],
        ),
      ),
    };
  }
  const result = SETTINGS_SCHEMA.safeParse(document.toJS() ?? {});
  if (result.success) {
    const findings = listDuplicates(result.data);
    return {
      settings: findings.length === 0 ? result.data : undefined,
      findings,
    };
  }
  return {
    settings: undefined,
    findings: result.error.issues.flatMap(issue =>
      toFindings(issue, document, lineCounter),
    ),
  };
}

function toFindings(
  issue: z.core.$ZodIssue,
  document: Document,
  lineCounter: LineCounter,
): Finding[] {
  const path = issue.path.map(part =>
    typeof part === 'symbol' ? String(part) : part,
  );
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key =>
      createFinding(
        findTextPosition(document, lineCounter, [...path, key]),
        'unknown_field',
        `unknown field ${formatPath([...path, key])}`,
      ),
    );
  }
  return [
    createFinding(
      findTextPosition(document, lineCounter, path),
      'invalid_field',
      `${formatPath(path)}: ${issue.message}`,
    ),
  ];
}

// Returns the position of the node at the path, or of its nearest ancestor that
// exists in the file.
function findTextPosition(
  document: Document,
  lineCounter: LineCounter,
  path: SettingsPath,
): TextPosition {
  for (let length = path.length; length > 0; length -= 1) {
    const node = document.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) {
      return toTextPosition(lineCounter, node.range[0]);
    }
  }
  return {line: 1, column: 1};
}

function toTextPosition(
  lineCounter: LineCounter,
  offset: number,
): TextPosition {
  const {line, col} = lineCounter.linePos(offset);
  return {line: Math.max(1, line), column: Math.max(1, col)};
}

function formatPath(path: SettingsPath): string {
  return path.length === 0 ? 'settings' : path.join('.');
}

function createFinding(
  position: TextPosition,
  code: string,
  message: string,
): Finding {
  return {position, severity: 'error', code, message};
}

function listDuplicates(settings: Settings): Finding[] {
  const findings: Finding[] = [];
  const digests = new Set<string>();
  for (const organisation of settings.organisations) {
    for (const digest of organisation.keySha256) {
      if (digests.has(digest)) {
        findings.push(
          createFinding(
            {line: 1, column: 1},
            'duplicate_key',
            `organisations: an API key of ${organisation.name} is listed twice`,
          ),
        );
      }
      digests.add(digest);
    }
  }
  return findings;
}
