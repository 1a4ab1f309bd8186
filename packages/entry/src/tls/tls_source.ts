import type {Logger} from '@anvilrudder/observability';
import {FileWatcher} from './file_watcher.js';
import {
  readTlsMaterial,
  type TlsFiles,
  type TlsMaterial,
} from './tls_material.js';

/** Options of {@link TlsSource.create}. */
export interface TlsSourceOptions {
  /** What the certificate is used for; shown in logs. */
  readonly use: 'callers' | 'peers';
  readonly files: TlsFiles;
  readonly logger: Logger;
  readonly checkPeriodMs?: number | undefined;
}

/** Receives renewed certificates. */
export type TlsListener = (material: TlsMaterial) => void;

/**
 * Provides the current certificate and reloads it when one of its files
 * changes. If the files are invalid, the current certificate stays in use.
 */
export class TlsSource {
  private readonly listeners = new Set<TlsListener>();

  private constructor(
    private readonly options: TlsSourceOptions,
    private readonly watcher: FileWatcher,
    private currentMaterial: TlsMaterial,
  ) {}

  /**
   * Reads the files and watches them.
   *
   * @throws Error when a file is missing or malformed, or when the key does not
   *     belong to the certificate.
   * @example
   * ```ts
   * const source = await TlsSource.create({use: 'peers', files, logger});
   * source.onChange(material => server.setSecureContext(material));
   * ```
   */
  static async create(options: TlsSourceOptions): Promise<TlsSource> {
    const watcher = await FileWatcher.create({
      paths: listPaths(options.files),
      periodMs: options.checkPeriodMs,
    });
    const material = await readInitialMaterial(options);
    const source = new TlsSource(options, watcher, material);
    source.log('certificate_loaded');
    watcher.start(() => source.reload());
    return source;
  }

  get material(): TlsMaterial {
    return this.currentMaterial;
  }

  /** Calls the listener after each renewal. */
  onChange(listener: TlsListener): void {
    this.listeners.add(listener);
  }

  /** Reloads the files; logs an error and keeps the current certificate. */
  async reload(): Promise<void> {
    let material: TlsMaterial;
    try {
      material = await readTlsMaterial(this.options.files);
    } catch (error) {
      const {use, logger} = this.options;
      logger.warn('certificate_refused', {use, reason: describeError(error)});
      return;
    }
    if (isSameMaterial(material, this.currentMaterial)) return;
    this.currentMaterial = material;
    for (const listener of this.listeners) listener(material);
    this.log('certificate_renewed');
  }

  stop(): void {
    this.watcher.stop();
    this.listeners.clear();
  }

  private log(event: string): void {
    const {use, logger} = this.options;
    const {names, validTo} = this.currentMaterial;
    logger.info(event, {use, names, validTo});
  }
}

async function readInitialMaterial(
  options: TlsSourceOptions,
): Promise<TlsMaterial> {
  try {
    return await readTlsMaterial(options.files);
  } catch (error) {
    throw new Error(`tls.${options.use}: ${describeError(error)}`, {
      cause: error,
    });
  }
}

function listPaths({certFile, keyFile, caFile}: TlsFiles): readonly string[] {
  return caFile === undefined
    ? [certFile, keyFile]
    : [certFile, keyFile, caFile];
}

function isSameMaterial(left: TlsMaterial, right: TlsMaterial): boolean {
  return (
    left.cert.equals(right.cert) &&
    left.key.equals(right.key) &&
    (left.ca ?? left.cert).equals(right.ca ?? right.cert)
  );
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
