import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import type {Experiment} from './experiment.js';
import {createSummaryReader, summarizeSamples} from './metric_summary.js';
import {formatHtmlPage, type Report} from './report.js';

/** Runs an experiment with `seedCount` consecutive seeds. */
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
  const summaries = summarizeSamples(samples);
  return {
    name: experiment.name,
    description: experiment.description,
    seedCount,
    spreads: summaries,
    goals: experiment.checkGoals(createSummaryReader(summaries)),
  };
}

/** Writes the report to `NAME.json` and `NAME.html` in the folder. */
export function writeReport(report: Report, folder: string): void {
  mkdirSync(folder, {recursive: true});
  const path = join(folder, report.name);
  writeFileSync(`${path}.json`, JSON.stringify(report, undefined, 2));
  writeFileSync(`${path}.html`, formatHtmlPage(report));
}
