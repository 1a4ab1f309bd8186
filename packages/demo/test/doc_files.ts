import {readFileSync, readdirSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

/** Root of the workspace, relative to the compiled tests. */
export const ROOT = join(
  dirname(fileURLToPath(import.meta.url)),
  '../../../..',
);

const FENCE = /^```(\w*)\n([\s\S]*?)^```$/gm;
const LINK = /\]\(([^)\s]+)\)/g;
const CODE = /```[\s\S]*?```|`[^`]*`/g;

/** Lists the Markdown files below a folder, as paths relative to the root. */
export function listMarkdown(folder: string): readonly string[] {
  return readdirSync(join(ROOT, folder), {recursive: true})
    .map(String)
    .filter(file => file.endsWith('.md'))
    .map(file => join(folder, file))
    .sort();
}

/**
 * Reads the commands of a program from the `sh` blocks of a page. Continued
 * lines are joined; pipes, redirections and comments are removed.
 */
export function readCommands(path: string, program: string): readonly string[] {
  const text = readFileSync(join(ROOT, path), 'utf8');
  return [...text.matchAll(FENCE)]
    .filter(([, language]) => language === 'sh')
    .flatMap(([, , body]) => body.replaceAll('\\\n', ' ').split('\n'))
    .map(line => line.replace(/ [>|#].*$/, '').trim())
    .filter(line => line.startsWith(`${program} `));
}

/** Splits a command at spaces, except within double quotes. */
export function splitArguments(command: string): readonly string[] {
  return [...command.matchAll(/"([^"]*)"|(\S+)/g)].map(
    ([, quoted, plain]) => quoted ?? plain,
  );
}

/** Reads the targets of the relative links of a page, without anchors. */
export function readRelativeLinks(path: string): readonly string[] {
  const text = readFileSync(join(ROOT, path), 'utf8').replace(CODE, '');
  return [...text.matchAll(LINK)]
    .map(([, target]) => target.split('#', 1)[0])
    .filter(target => target !== '' && !/^[a-z]+:/.test(target));
}
