import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import type {Experiment} from './experiment.js';
import {formatPage, type Report} from './report.js';
import {createSpreadReader, summarizeSamples} from './spread.js';

/** Runs an experiment with `seedCount` seeds in a row. */
export function runExperiment(
  experiment: Experiment,
  seedCount: number,
  firstSeed = 1,
): Report {
  const seeds = Array.from(
    {length: seedCount},
    (_, index) => firstSeed + index,
  );
  const samples = seeds.flatMap(seed => experiment.run(seed));
  const spreads = summarizeSamples(samples);
  return {
    name: experiment.name,
    description: experiment.description,
    seedCount,
    spreads,
    goals: experiment.checkGoals(createSpreadReader(spreads)),
  };
}

/** Writes `NAME.json` and `NAME.html` into the folder. */
export function writeReport(report: Report, folder: string): void {
  mkdirSync(folder, {recursive: true});
  const path = join(folder, report.name);
  writeFileSync(`${path}.json`, JSON.stringify(report, undefined, 2));
  writeFileSync(`${path}.html`, formatPage(report));
}
