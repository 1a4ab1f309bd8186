import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {
  formatSettingsPage,
  listSettings,
} from '../../src/config/settings_page.js';

// The compiled tests lie below `packages/entry/dist/test/config`.
const PAGE_URL = new URL(
  '../../../../../docs/config/entry.md',
  import.meta.url,
);

test('the committed page agrees with the schema', () => {
  assert.equal(
    readFileSync(PAGE_URL, 'utf8'),
    formatSettingsPage(),
    'run npm run docs:config',
  );
});

test('every setting has a meaning', () => {
  const settings = listSettings();
  assert.ok(settings.length > 30);
  for (const {path, type, meaning} of settings) {
    assert.notEqual(meaning, '', path);
    assert.notEqual(type, '', path);
  }
});
