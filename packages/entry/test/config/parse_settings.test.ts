import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseSettings} from '../../src/config/parse_settings.js';

const VALID = `
host: entry-1
failureDomain: domain-a
listen: {port: 8080}
peer: {port: 9080}
platform:
  objectsUrl: http://127.0.0.1:7000
  hostsUrl: http://127.0.0.1:7001
organisations:
  - name: school-a
    keySha256: [${'ab'.repeat(32)}]
sessions:
  keys:
    - {id: k1, secretBase64: ${Buffer.alloc(32, 1).toString('base64')}}
`;

test('settings left out of a valid file get their defaults', () => {
  const {settings, findings} = parseSettings(VALID);
  assert.deepEqual(findings, []);
  assert.equal(settings?.rules.freshnessMs, 6000);
  assert.equal(settings?.requests.maxBodyBytes, 1_048_576);
});

test('all errors are reported together, each with its path and line', () => {
  const text = VALID.replace('host: entry-1', 'host: Entry One')
    .replace('port: 8080', 'port: 80800')
    .replace('ab'.repeat(32), 'short')
    .replace('failureDomain', 'failuredomain');
  const {settings, findings} = parseSettings(text);
  assert.equal(settings, undefined);
  const lines = findings.map(({position: position, message}) => [
    position.line,
    message.split(':')[0],
  ]);
  assert.deepEqual(
    lines.sort((a, b) => Number(a[0]) - Number(b[0])),
    [
      [1, 'failureDomain'],
      [2, 'host'],
      [3, 'unknown field failuredomain'],
      [4, 'listen.port'],
      [11, 'organisations.0.keySha256.0'],
    ],
  );
});

test('malformed YAML is reported with its position', () => {
  const {findings} = parseSettings('host: [1,\n');
  assert.equal(findings[0].code, 'invalid_yaml');
  assert.ok(findings[0].position.line >= 1);
});

test('an API key shared by two organisations is rejected', () => {
  const text = VALID.replace(
    'sessions:',
    `  - name: school-b
    keySha256: [${'ab'.repeat(32)}]
sessions:`,
  );
  const {findings} = parseSettings(text);
  assert.deepEqual(
    findings.map(finding => finding.code),
    ['duplicate_key'],
  );
});

test('an empty file and a scalar are rejected without an exception', () => {
  assert.equal(parseSettings('').settings, undefined);
  assert.equal(parseSettings('42').settings, undefined);
});
