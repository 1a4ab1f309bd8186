import type {MetricSummary, Sample, MetricSummaryReader} from './experiment.js';

/** Summarizes the samples of all seeds by scenario, policy and metric. */
export function summarizeSamples(
  samples: readonly Sample[],
): readonly MetricSummary[] {
  const groups = new Map<string, {sample: Sample; values: number[]}>();
  for (const sample of samples) {
    for (const {name, value} of sample.metrics) {
      const key = JSON.stringify([sample.scenario, sample.policy, name]);
      const group = groups.get(key) ?? {sample, values: []};
      group.values.push(value);
      groups.set(key, group);
    }
  }
  return [...groups].map(([key, {sample, values}]) => ({
    scenario: sample.scenario,
    policy: sample.policy,
    metric: (JSON.parse(key) as readonly string[])[2],
    ...summarizeValues(values),
  }));
}

function summarizeValues(values: readonly number[]) {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const sumOfSquares = values.reduce(
    (sum, value) => sum + (value - mean) ** 2,
    0,
  );
  return {
    mean,
    deviation: Math.sqrt(sumOfSquares / Math.max(1, values.length - 1)),
    min: Math.min(...values),
    max: Math.max(...values),
    seedCount: values.length,
  };
}

/** Creates a function that finds a summary by scenario, policy and metric. */
export function createSummaryReader(
  summaries: readonly MetricSummary[],
): MetricSummaryReader {
  return (scenario, policy, metric) => {
    const found = summaries.find(
      summary =>
        summary.scenario === scenario &&
        summary.policy === policy &&
        summary.metric === metric,
    );
    if (found === undefined) {
      throw new Error(`not measured: ${scenario} ${policy} ${metric}`);
    }
    return found;
  };
}
