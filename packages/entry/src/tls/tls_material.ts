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

/** Contents of the PEM files of one certificate. */
export interface TlsMaterial {
  readonly cert: Buffer;
  readonly key: Buffer;
  /** CA certificates that certificates of the other side are checked against. */
  readonly ca: Buffer | undefined;
  /** Subject alternative names: the names and addresses it is valid for. */
  readonly names: string;
  /** End of the certificate's validity, as formatted by `X509Certificate`. */
  readonly validTo: string;
}

/**
 * Reads PEM files and checks that they are well formed and that the key
 * belongs to the certificate.
 *
 * @throws Error when a file is missing or malformed, or when the key does not
 *     belong to the certificate.
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
 * Returns the options of the server for callers. Callers must present a
 * certificate when CA certificates are configured (mutual TLS).
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
 * without a certificate are accepted, because operators have none; the calls
 * that need a certificate are checked one by one.
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
 * Returns the options of connections to other entries. They present this
 * host's certificate, and accept only a certificate that is signed by a
 * configured CA and valid for the IP address of the connection.
 */
export function resolvePeerClientTls(material: TlsMaterial): AgentOptions {
  const {cert, key, ca} = material;
  return {
    cert,
    key,
    ca,
    minVersion: MIN_TLS_VERSION,
    rejectUnauthorized: true,
    // A resumed TLS session would not be checked against renewed CAs.
    maxCachedSessions: 0,
  };
}

// createSecureContext does not fail on a CA file without any certificate.
function checkAuthorities(ca: Buffer): void {
  if (!new X509Certificate(ca).ca) {
    throw new Error('The first certificate in caFile is not a CA certificate.');
  }
}
