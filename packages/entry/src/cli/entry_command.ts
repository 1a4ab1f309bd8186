import {readFileSync} from 'node:fs';
import {SignalListener} from '@anvilrudder/clients';
import {formatFinding} from '@anvilrudder/core';
import {defineCommand, type ArgsDef} from 'citty';
import {parseSettings} from '../config/parse_settings.js';
import type {Settings} from '../config/settings_schema.js';
import {startEntry} from '../start_entry.js';

/** Exit codes of `anvilrudder-entry`. */
export const ENTRY_EXIT_CODES = {
  ok: 0,
  failed: 1,
  invalidSettings: 2,
} as const;

const ENTRY_OPTIONS = {
  config: {
    type: 'string',
    required: true,
    description: 'path of the YAML settings file',
    valueHint: 'FILE',
  },
  check: {
    type: 'boolean',
    default: false,
    description: 'check the settings, print the findings and exit',
  },
} as const satisfies ArgsDef;

/** Command line of the entry process. */
export const entryCommand = defineCommand({
  meta: {
    name: 'anvilrudder-entry',
    description: 'Routes requests of callers to models and services.',
  },
  args: ENTRY_OPTIONS,
  async run({args}) {
    const hangups = SignalListener.create('SIGHUP');
    const settings = loadSettings(args.config);
    if (settings === undefined) {
      process.exitCode = ENTRY_EXIT_CODES.invalidSettings;
      return;
    }
    if (args.check) {
      process.stdout.write(`${args.config}: no findings\n`);
      return;
    }
    const entry = await startEntry(settings, {settingsFile: args.config});
    hangups.handle(() => {
      void entry.reload();
    });
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => {
        void entry.stop();
      });
    }
  },
});

function loadSettings(path: string): Settings | undefined {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    process.stderr.write(`${path}: ${(error as Error).message}\n`);
    return undefined;
  }
  const {settings, findings} = parseSettings(text);
  for (const finding of findings) {
    process.stderr.write(`${formatFinding(path, finding)}\n`);
  }
  return settings;
}
