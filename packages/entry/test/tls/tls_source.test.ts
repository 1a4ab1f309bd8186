import assert from 'node:assert/strict';
import {writeFileSync} from 'node:fs';
import {test} from 'node:test';
import type {LogFields, Logger} from '@anvilrudder/observability';
import {SILENT_LOGGER} from '@anvilrudder/observability';
import {TlsSource} from '../../src/tls/index.js';
import {
  createCertificateFiles,
  readPem,
  replaceCertificate,
  type CertificateFiles,
} from '../support/test_certificates.js';

/** Ways to make one of the files invalid. */
const INVALID_FILES: ReadonlyArray<
  readonly [string, (files: CertificateFiles) => void]
> = [
  ['an empty certFile', files => writeFileSync(files.certFile, '')],
  ['a malformed keyFile', files => writeFileSync(files.keyFile, 'no key')],
  ['an empty caFile', files => writeFileSync(files.caFile, '')],
  [
    'a keyFile of another certificate',
    files => writeFileSync(files.keyFile, readPem('renewed.key')),
  ],
  [
    'a caFile without a CA certificate',
    files => writeFileSync(files.caFile, readPem('entry.pem')),
  ],
];

for (const [name, breakFiles] of INVALID_FILES) {
  test(`${name}: a start fails, a reload keeps the certificate`, async t => {
    const warnings: LogFields[] = [];
    const logger: Logger = {
      ...SILENT_LOGGER,
      warn: (event, fields) => warnings.push({event, ...fields}),
    };
    const files = createCertificateFiles();
    const options = {use: 'peers', files, logger} as const;
    const source = await TlsSource.create(options);
    t.after(() => source.stop());
    const before = source.material;
    breakFiles(files);
    await source.reload();
    assert.equal(source.material, before);
    assert.equal(warnings[0]['event'], 'certificate_refused');
    await assert.rejects(TlsSource.create(options), /^Error: tls\.peers: /);
  });
}

test('listeners are called once per renewal, and not for an unchanged file', async t => {
  const files = createCertificateFiles();
  const source = await TlsSource.create({
    use: 'callers',
    files,
    logger: SILENT_LOGGER,
  });
  t.after(() => source.stop());
  let renewals = 0;
  source.onChange(() => {
    renewals += 1;
  });
  await source.reload();
  replaceCertificate(files, 'renewed');
  await source.reload();
  await source.reload();
  assert.equal(renewals, 1);
});
