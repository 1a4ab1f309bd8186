import {DECISION_COST} from '../decision_cost/decision_cost.js';
import type {CapacityCommand, CapacityOptions, Row} from './capacity_report.js';

async function run({seed, isSmall}: CapacityOptions) {
  const samples = DECISION_COST.run(seed);
  const rows: readonly Row[] = samples.map(({scenario, metrics}) => ({
    size: scenario,
    ...Object.fromEntries(metrics.map(({name, value}) => [name, value])),
  }));
  return {
    name: CAPACITY_ROUTING.name,
    seed,
    rows: isSmall ? rows.slice(0, 1) : rows,
    fits: [],
  };
}

/** Measures the time of the routing decisions for one request. */
export const CAPACITY_ROUTING: CapacityCommand = {
  name: 'capacity-routing',
  description:
    'microseconds for the routing decisions of one request, by deployment size',
  run,
};
