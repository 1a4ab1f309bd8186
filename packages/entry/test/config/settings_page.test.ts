import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {
  formatSettingsPage,
  listSettings,
} from '../../src/config/settings_page.js';

// The compiled tests are in `packages/entry/dist/test/config`.
const PAGE_URL = new URL(
  '../../../../../docs/config/entry.md',
  import.meta.url,
);

test('the committed settings page matches the schema', () => {
  assert.equal(
    readFileSync(PAGE_URL, 'utf8'),
    formatSettingsPage(),
    'run npm run docs:config',
  );
});

test('every setting has a description and a type', () => {
  const settings = listSettings();
  assert.ok(settings.length > 30);
  for (const {path, type, meaning} of settings) {
    assert.notEqual(meaning, '', path);
    assert.notEqual(type, '', path);
  }
});
