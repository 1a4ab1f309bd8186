// Bundles the programs that run on the platform into a folder, one file each.
//
// Usage: node scripts/bundle.mjs [folder, target/ by default]
import {mkdirSync} from 'node:fs';
import {dirname, join, resolve} from 'node:path';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
const TARGET = resolve(process.argv[2] ?? join(ROOT, 'target'));
const QUICK_ASSERT = join(ROOT, 'platform', 'src', 'quick_assert.cts');
// Whatever prints or parses a source line must not meet a line of megabytes.
const MAX_LINE_CHARACTERS = 500;

/** Gives libraries an `assert` that does not read source files. */
const quickAssertPlugin = {
  name: 'quick-assert',
  setup({onResolve}) {
    onResolve({filter: /^(node:)?assert$/}, ({importer}) =>
      importer === QUICK_ASSERT
        ? {path: 'node:assert', external: true}
        : {path: QUICK_ASSERT},
    );
  },
};

function sourceOf(folder) {
  return join(ROOT, folder, 'src', 'index.ts');
}

mkdirSync(TARGET, {recursive: true});
await build({
  entryPoints: [join(ROOT, 'platform', 'src', 'main.ts')],
  outfile: join(TARGET, 'anvilrudder-gateway.mjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  minifyWhitespace: true,
  lineLimit: MAX_LINE_CHARACTERS,
  plugins: [quickAssertPlugin],
  keepNames: false,
  logLevel: 'warning',
  alias: {
    '@anvilrudder/clients': sourceOf('packages/clients'),
    '@anvilrudder/core': sourceOf('packages/core'),
    '@anvilrudder/gateway': sourceOf('packages/gateway'),
    '@anvilrudder/observability': sourceOf('packages/observability'),
  },
  // Optional parts of the log library that are not installed.
  external: ['dtrace-provider', 'mv', 'source-map-support'],
  banner: {
    js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
