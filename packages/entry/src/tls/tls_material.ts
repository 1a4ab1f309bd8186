import {X509Certificate} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import type {AgentOptions, ServerOptions} from 'node:https';
import {createSecureContext} from 'node:tls';

const MIN_TLS_VERSION = 'TLSv1.2';

/** Paths of PEM files. */
export interface TlsFiles {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile?: string | undefined;
}

/** Contents of PEM files that belong together. */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  /** Authorities that sign the certificates of the other side. */
  readonly ca: Buffer | undefined;
  /** Names and addresses that the certificate is for. */
  readonly names: string;
  /** End of the certificate's validity, as the certificate writes it. */
  readonly validTo: string;
}

/**
 * Reads PEM files and checks that they are well formed and that the key
 * belongs to the certificate.
 *
 * @throws Error when a file is missing, malformed or does not fit.
 * @example
 * ```ts
 * const material = await readTlsMaterial({certFile, keyFile, caFile});
 * ```
 */
export async function readTlsMaterial(files: TlsFiles): Promise<TlsMaterial> {
  const [cert, key, ca] = await Promise.all([
    readFile(files.certFile),
    readFile(files.keyFile),
    files.caFile === undefined ? undefined : readFile(files.caFile),
  ]);
  if (ca !== undefined) checkAuthorities(ca);
  createSecureContext({cert, key, ca});
  const {subjectAltName, validTo} = new X509Certificate(cert);
  return {cert, key, ca, names: subjectAltName ?? '', validTo};
}

/**
 * Returns the options of the server for callers. Callers need a certificate
 * where authorities are set.
 */
export function resolveCallerTls(material: TlsMaterial): ServerOptions {
  const {cert, key, ca} = material;
  const isMutual = ca !== undefined;
  return {
    cert,
    key,
    ca,
    minVersion: MIN_TLS_VERSION,
    requestCert: isMutual,
    rejectUnauthorized: isMutual,
  };
}

/**
 * Returns the options of the server for entries and operators. Connections
 * without a certificate are taken, since operators have none; which calls
 * they may make is decided for each call.
 */
export function resolvePeerServerTls(material: TlsMaterial): ServerOptions {
  const {cert, key, ca} = material;
  return {
    cert,
    key,
    ca,
    minVersion: MIN_TLS_VERSION,
    requestCert: true,
    rejectUnauthorized: false,
  };
}

/**
 * Returns the options of connections to other entries: they present the
 * host's certificate, and accept a certificate that the authorities signed
 * and that carries the IP number called.
 */
export function resolvePeerClientTls(material: TlsMaterial): AgentOptions {
  const {cert, key, ca} = material;
  return {
    cert,
    key,
    ca,
    minVersion: MIN_TLS_VERSION,
    rejectUnauthorized: true,
    // A resumed session would not be checked against renewed authorities.
    maxCachedSessions: 0,
  };
}

// A context takes a file without any certificate in silence.
function checkAuthorities(ca: Buffer): void {
  if (!new X509Certificate(ca).ca) {
    throw new Error('The certificate of an authority is expected in caFile.');
  }
}
