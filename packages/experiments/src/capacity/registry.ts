import type {CapacityCommand} from './capacity_report.js';
import {CAPACITY_RULES} from './capacity_rules.js';

/** Every capacity command, in the order of `--list`. */
export const CAPACITY_COMMANDS: readonly CapacityCommand[] = [CAPACITY_RULES];
