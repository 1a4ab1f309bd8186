import {copyFileSync, mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/** Names of the committed test certificates. */
export type CertificateName = 'entry' | 'renewed' | 'wrong_name' | 'foreign';

/** Names of the committed certificate authorities for tests. */
export type AuthorityName = 'ca' | 'other_ca';

// The path is relative to the compiled tests in `dist`.
const CERTIFICATES_URL = new URL(
  '../../../test/support/certificates/',
  import.meta.url,
);

/** Reads a committed PEM file, such as `entry.key`. */
export function readPem(file: string): Buffer {
  return readFileSync(new URL(file, CERTIFICATES_URL));
}

/** Reads the certificate, key and trusted authority of a client or server. */
export function readIdentity(
  name: CertificateName,
  authority: AuthorityName = 'ca',
): {readonly cert: Buffer; readonly key: Buffer; readonly ca: Buffer} {
  return {
    cert: readPem(`${name}.pem`),
    key: readPem(`${name}.key`),
    ca: readPem(`${authority}.pem`),
  };
}

/** Paths of certificate files that a test may replace. */
export interface CertificateFiles {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile: string;
}

/** Copies a certificate, its key and the authority `ca` to a new folder. */
export function createCertificateFiles(
  name: CertificateName = 'entry',
): CertificateFiles {
  const folder = mkdtempSync(join(tmpdir(), 'certificates-'));
  const files = {
    certFile: join(folder, 'tls.pem'),
    keyFile: join(folder, 'tls.key'),
    caFile: join(folder, 'ca.pem'),
  };
  replaceCertificate(files, name);
  replaceAuthority(files, 'ca');
  return files;
}

/** Replaces the certificate file and the key file. */
export function replaceCertificate(
  files: CertificateFiles,
  name: CertificateName,
): void {
  copyPem(`${name}.key`, files.keyFile);
  copyPem(`${name}.pem`, files.certFile);
}

/** Replaces the file of the trusted authority. */
export function replaceAuthority(
  files: CertificateFiles,
  name: AuthorityName,
): void {
  copyPem(`${name}.pem`, files.caFile);
}

function copyPem(file: string, target: string): void {
  copyFileSync(new URL(file, CERTIFICATES_URL), target);
}
