import {defineCommand, runMain} from 'citty';
import {listCapacity, runCapacity} from './capacity/run_capacity.js';
import {formatTables} from './harness/report.js';
import {runExperiment, writeReport} from './harness/run_experiment.js';
import {EXPERIMENTS} from './registry.js';

const REPORT_FOLDER = 'reports';

function printList(): void {
  for (const {name, description} of EXPERIMENTS) {
    console.log(`${name}: ${description}`);
  }
  for (const line of listCapacity()) console.log(line);
}

function parseCount(option: string, text: string): number {
  const count = Number(text);
  if (Number.isInteger(count) && count >= 1) return count;
  throw new Error(`${option} must be an integer of at least 1, got ${text}`);
}

const command = defineCommand({
  meta: {
    name: 'experiment',
    description: 'Runs an experiment or a capacity command.',
  },
  args: {
    name: {
      type: 'positional',
      required: false,
      description: 'name of the experiment or capacity command',
    },
    list: {
      type: 'boolean',
      description: 'list experiments and capacity commands',
    },
    seeds: {
      type: 'string',
      description: 'number of seeds (default depends on the experiment)',
    },
    'first-seed': {type: 'string', description: 'first seed (default: 1)'},
    json: {type: 'boolean', description: 'print JSON instead of tables'},
  },
  async run({args}) {
    if (args.list) return printList();
    if (await runCapacity(args.name ?? '')) return;
    const experiment = EXPERIMENTS.find(({name}) => name === args.name);
    if (experiment === undefined) {
      printList();
      throw new Error(`no experiment named ${args.name ?? '(none given)'}`);
    }
    const seedCount = parseCount(
      '--seeds',
      args.seeds ?? String(experiment.defaultSeedCount),
    );
    const firstSeed = parseCount('--first-seed', args['first-seed'] ?? '1');
    const report = runExperiment(experiment, seedCount, firstSeed);
    writeReport(report, REPORT_FOLDER);
    console.log(args.json ? JSON.stringify(report) : formatTables(report));
  },
});

await runMain(command);
