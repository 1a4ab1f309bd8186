import type {Sample, Spread, MetricSummaryReader} from './experiment.js';

/** Sums up samples of several seeds by scenario, policy and metric. */
export function summarizeSamples(
  samples: readonly Sample[],
): readonly Spread[] {
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
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  return {
    mean,
    deviation: Math.sqrt(squares / Math.max(1, values.length - 1)),
    min: Math.min(...values),
    max: Math.max(...values),
    seedCount: values.length,
  };
}

/** Creates a reader over spreads. */
export function createSpreadReader(
  spreads: readonly Spread[],
): MetricSummaryReader {
  return (scenario, policy, metric) => {
    const found = spreads.find(
      spread =>
        spread.scenario === scenario &&
        spread.policy === policy &&
        spread.metric === metric,
    );
    if (found === undefined) {
      throw new Error(`not measured: ${scenario} ${policy} ${metric}`);
    }
    return found;
  };
}
