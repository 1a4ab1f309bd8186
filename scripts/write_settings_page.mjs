// Writes docs/config/entry.md from the schema of the settings.
import {writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {formatSettingsPage} from '../packages/entry/dist/src/config/settings_page.js';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');

writeFileSync(join(ROOT, 'docs', 'config', 'entry.md'), formatSettingsPage());
