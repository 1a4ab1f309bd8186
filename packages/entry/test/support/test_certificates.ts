import {copyFileSync, mkdtempSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/** Names of the committed test certificates. */
export type CertificateName = 'entry' | 'renewed' | 'wrong_name' | 'foreign';

/** Names of the committed test authorities. */
export type AuthorityName = 'ca' | 'other_ca';

// The compiled tests lie below `dist`.
const CERTIFICATES_URL = new URL(
  '../../../test/support/certificates/',
  import.meta.url,
);

/** Contents of a committed PEM file, such as `entry.key`. */
export function readPem(file: string): Buffer {
  return readFileSync(new URL(file, CERTIFICATES_URL));
}

/** Key, certificate and authority of a client or server. */
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

/** Files that a test may replace. */
export interface CertificateFiles {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile: string;
}

/** Copies a certificate into a new folder. */
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

/** Replaces certificate and key. */
export function replaceCertificate(
  files: CertificateFiles,
  name: CertificateName,
): void {
  copyPem(`${name}.key`, files.keyFile);
  copyPem(`${name}.pem`, files.certFile);
}

/** Replaces the authority. */
export function replaceAuthority(
  files: CertificateFiles,
  name: AuthorityName,
): void {
  copyPem(`${name}.pem`, files.caFile);
}

function copyPem(file: string, target: string): void {
  copyFileSync(new URL(file, CERTIFICATES_URL), target);
}
