import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {test} from 'node:test';
import {parseSettings} from '../../src/config/parse_settings.js';
import {ROOT} from './doc_tables.js';

const YAML_BLOCK = /^```yaml\n([\s\S]*?)^```$/gm;
const DIGEST = 'a'.repeat(64);
const SECRET = Buffer.alloc(32).toString('base64');

test('the example settings in docs/guide/start.md have no findings', () => {
  const page = readFileSync(join(ROOT, 'docs/guide/start.md'), 'utf8');
  const blocks = [...page.matchAll(YAML_BLOCK)].map(([, block]) => block);
  assert.equal(blocks.length, 1);
  const text = blocks[0]
    .replace(/SHA256_OF_[A-Z_]+/g, DIGEST)
    .replace('AT_LEAST_32_RANDOM_BYTES', SECRET);
  assert.deepEqual(parseSettings(text).findings, []);
});
