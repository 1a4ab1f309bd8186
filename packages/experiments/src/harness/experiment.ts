/** One measured figure; the name ends in its unit. */
export interface Metric {
  readonly name: string;
  readonly value: number;
}

/** Figures of one policy in one scenario under one seed. */
export interface Sample {
  readonly scenario: string;
  readonly policy: string;
  readonly metrics: readonly Metric[];
}

/** A figure over all seeds. */
export interface Spread {
  readonly scenario: string;
  readonly policy: string;
  readonly metric: string;
  readonly mean: number;
  readonly deviation: number;
  readonly min: number;
  readonly max: number;
  readonly seedCount: number;
}

/** Whether a stated goal was met. */
export interface GoalResult {
  readonly goal: string;
  readonly measured: string;
  readonly isMet: boolean;
}

/** Finds the spread of a figure; throws when it was not measured. */
export type MetricSummaryReader = (
  scenario: string,
  policy: string,
  metric: string,
) => Spread;

/** A seeded experiment on the decision core. */
export interface Experiment {
  readonly name: string;
  readonly description: string;
  readonly defaultSeedCount: number;
  readonly run: (seed: number) => readonly Sample[];
  readonly checkGoals: (read: MetricSummaryReader) => readonly GoalResult[];
}

/**
 * Turns figures into metrics, in the order of the fields.
 *
 * @example
 * ```ts
 * toMetrics({costPerMtok: 3}); // [{name: 'costPerMtok', value: 3}]
 * ```
 */
export function toMetrics(
  figures: Readonly<Record<string, number>>,
): readonly Metric[] {
  return Object.entries(figures).map(([name, value]) => ({name, value}));
}
