// Bundles the programs that run on the platform into target/, one file each.
import {mkdirSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
const TARGET = join(ROOT, 'target');

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
