import {readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

/** Root of the workspace, relative to the compiled tests. */
export const ROOT = join(
  dirname(fileURLToPath(import.meta.url)),
  '../../../../..',
);

/** Reads the cells of each row whose first cell is one code span. */
export function readTableRows(path: string): readonly (readonly string[])[] {
  return readFileSync(join(ROOT, path), 'utf8')
    .split('\n')
    .filter(line => /^\| `[^`]+` +\|/.test(line))
    .map(line =>
      line
        .slice(1, -1)
        .split('|')
        .map(cell => cell.trim()),
    );
}

/** Returns the texts of the code spans in a cell. */
export function readCodeSpans(cell: string): readonly string[] {
  return [...cell.matchAll(/`([^`]+)`/g)].map(match => match[1]);
}
