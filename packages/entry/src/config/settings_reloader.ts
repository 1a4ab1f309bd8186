import {readFile} from 'node:fs/promises';
import {isDeepStrictEqual} from 'node:util';
import type {Logger} from '@anvilrudder/observability';
import {FileWatcher} from '../tls/index.js';
import {listKeyChanges, type KeyChange} from './key_changes.js';
import {parseSettings} from './parse_settings.js';
import type {Settings} from './settings_schema.js';

/** Options of {@link SettingsReloader.create}. */
export interface SettingsReloaderOptions {
  readonly path: string;
  /** The settings that the process was started with. */
  readonly settings: Settings;
  readonly logger: Logger;
  /** Applies the settings that take effect without a restart. */
  readonly apply: (settings: Settings) => void;
  /** Records a change of a secret that has been applied. */
  readonly record: (change: KeyChange) => void;
  readonly checkPeriodMs?: number | undefined;
}

/** Top-level settings that take effect without a restart. */
const RELOADABLE_FIELDS: ReadonlySet<string> = new Set([
  'organisations',
  'operators',
  'sessions',
  'log',
]);

/**
 * Reloads the settings file when it changes or on request. A file with findings
 * is ignored, and the current settings stay in force.
 */
export class SettingsReloader {
  private currentSettings: Settings;
  private lastReload: Promise<void> = Promise.resolve();

  private constructor(
    private readonly options: SettingsReloaderOptions,
    private readonly watcher: FileWatcher,
  ) {
    this.currentSettings = options.settings;
  }

  /**
   * Starts to watch the file, and reloads it once to pick up changes made since
   * the process read it.
   *
   * @example
   * ```ts
   * const reloader = await SettingsReloader.create(options);
   * await reloader.reload();
   * ```
   */
  static async create(
    options: SettingsReloaderOptions,
  ): Promise<SettingsReloader> {
    const watcher = await FileWatcher.create({
      paths: [options.path],
      periodMs: options.checkPeriodMs,
    });
    const reloader = new SettingsReloader(options, watcher);
    await reloader.reload();
    watcher.start(() => reloader.reload());
    return reloader;
  }

  /** Reloads the file after any reload in progress has ended. */
  async reload(): Promise<void> {
    this.lastReload = this.lastReload.then(() => this.reloadNow());
    await this.lastReload;
  }

  stop(): void {
    this.watcher.stop();
  }

  private async reloadNow(): Promise<void> {
    const settings = await this.readSettings();
    if (settings === undefined) return;
    if (isDeepStrictEqual(settings, this.currentSettings)) return;
    const {logger, apply, record} = this.options;
    const changes = listKeyChanges(this.currentSettings, settings);
    const restartFields = listRestartFields(this.options.settings, settings);
    this.currentSettings = settings;
    apply(settings);
    for (const change of changes) {
      logger.info('key_changed', {...change});
      record(change);
    }
    logger.info('settings_reloaded', {keyChanges: changes.length});
    if (restartFields.length > 0) {
      logger.warn('settings_need_restart', {fields: restartFields.join(',')});
    }
  }

  private async readSettings(): Promise<Settings | undefined> {
    const {path, logger} = this.options;
    let text: string;
    try {
      text = await readFile(path, 'utf8');
    } catch (error) {
      logger.warn('settings_unreadable', {path, reason: String(error)});
      return undefined;
    }
    const {settings, findings} = parseSettings(text);
    for (const {position: position, code, message} of findings) {
      logger.warn('settings_refused', {path, ...position, code, message});
    }
    return settings;
  }
}

// Compares with the settings at the start of the process, because fields that
// need a restart still have those values.
function listRestartFields(
  startSettings: Settings,
  changed: Settings,
): readonly string[] {
  const fields = Object.keys(startSettings) as Array<keyof Settings>;
  return fields.filter(
    field =>
      !RELOADABLE_FIELDS.has(field) &&
      !isDeepStrictEqual(startSettings[field], changed[field]),
  );
}
