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

const command = defineCommand({
  meta: {name: 'experiment', description: 'Runs a seeded experiment.'},
  args: {
    name: {type: 'positional', required: false, description: 'experiment'},
    list: {type: 'boolean', description: 'lists the experiments'},
    seeds: {type: 'string', description: 'number of seeds, from seed 1'},
    json: {type: 'boolean', description: 'prints JSON in place of tables'},
  },
  async run({args}) {
    if (args.list) return printList();
    if (await runCapacity(args.name ?? '')) return;
    const experiment = EXPERIMENTS.find(({name}) => name === args.name);
    if (experiment === undefined) {
      printList();
      throw new Error(`no experiment named ${args.name ?? '(none given)'}`);
    }
    const seedCount = Number(args.seeds ?? experiment.defaultSeedCount);
    if (!Number.isInteger(seedCount) || seedCount < 1) {
      throw new Error(`--seeds takes a whole number from 1, not ${args.seeds}`);
    }
    const report = runExperiment(experiment, seedCount);
    writeReport(report, REPORT_FOLDER);
    console.log(args.json ? JSON.stringify(report) : formatTables(report));
  },
});

await runMain(command);
