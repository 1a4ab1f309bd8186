/** One measured value; the name ends in its unit. */
export interface Metric {
  readonly name: string;
  readonly value: number;
}

/** The metrics of one policy in one scenario for one seed. */
export interface Sample {
  readonly scenario: string;
  readonly policy: string;
  readonly metrics: readonly Metric[];
}

/** Statistics of a metric over all seeds. */
export interface MetricSummary {
  readonly scenario: string;
  readonly policy: string;
  readonly metric: string;
  readonly mean: number;
  /** Sample standard deviation. */
  readonly deviation: number;
  readonly min: number;
  readonly max: number;
  readonly seedCount: number;
}

/** The result of checking a goal against the measurements. */
export interface GoalResult {
  readonly goal: string;
  readonly measured: string;
  readonly isMet: boolean;
}

/**
 * Finds the summary of a metric.
 *
 * @throws Error when the metric was not measured.
 */
export type MetricSummaryReader = (
  scenario: string,
  policy: string,
  metric: string,
) => MetricSummary;

/** An experiment on routing decisions, run once for each seed. */
export interface Experiment {
  readonly name: string;
  readonly description: string;
  readonly defaultSeedCount: number;
  readonly run: (seed: number) => readonly Sample[];
  readonly checkGoals: (read: MetricSummaryReader) => readonly GoalResult[];
}

/**
 * Converts an object to metrics, in the order of its fields.
 *
 * @example
 * ```ts
 * toMetrics({costPerMtok: 3}); // [{name: 'costPerMtok', value: 3}]
 * ```
 */
export function toMetrics(
  values: Readonly<Record<string, number>>,
): readonly Metric[] {
  return Object.entries(values).map(([name, value]) => ({name, value}));
}
