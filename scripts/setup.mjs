// Installs the locked dependencies when they changed and builds the workspace.
import {spawnSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
const STAMP_FILE = join(ROOT, 'node_modules', '.lock_digest');

function run(command, args) {
  const result = spawnSync(command, args, {cwd: ROOT, stdio: 'inherit'});
  if (result.status !== 0) process.exit(result.status ?? 1);
}

function lockDigest() {
  const lock = readFileSync(join(ROOT, 'package-lock.json'));
  return createHash('sha256').update(lock).digest('hex');
}

function isInstalled(digest) {
  return existsSync(STAMP_FILE) && readFileSync(STAMP_FILE, 'utf8') === digest;
}

const digest = lockDigest();
if (!isInstalled(digest)) {
  run('npm', ['ci', '--no-audit', '--no-fund']);
  writeFileSync(STAMP_FILE, digest);
}
run(process.execPath, [
  join(ROOT, 'node_modules', 'typescript', 'bin', 'tsc'),
  '--build',
]);
