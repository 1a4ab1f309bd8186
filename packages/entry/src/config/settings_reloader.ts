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
  /** The settings in force. */
  readonly settings: Settings;
  readonly logger: Logger;
  /** Puts the parts in force that need no restart. */
  readonly apply: (settings: Settings) => void;
  /** Records a change of a secret that is in force. */
  readonly record: (change: KeyChange) => void;
  readonly checkPeriodMs?: number | undefined;
}

/** Fields that take effect without a restart. */
const RELOADABLE_FIELDS: ReadonlySet<string> = new Set([
  'organisations',
  'operators',
  'sessions',
  'log',
]);

/**
 * Reads the settings file again when it changes or when asked to. A file with
 * findings leaves the settings in force as they are.
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
   * Starts to watch the file, and reads it once for changes made since its
   * settings were put in force.
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

  /** Reads the file again, after reloads under way. */
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

// Compares with the settings of the start, which the other parts still use.
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
