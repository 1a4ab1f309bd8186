import {CAPACITY_BILLING} from './capacity_billing.js';
import {CAPACITY_CLAIMS_LEASES_AUDIT} from './capacity_claims_leases_audit.js';
import {CAPACITY_LOAD_REPORTS} from './capacity_load_reports.js';
import {CAPACITY_PROCESS} from './capacity_process.js';
import type {CapacityCommand} from './capacity_report.js';
import {CAPACITY_ROUTING} from './capacity_routing.js';
import {CAPACITY_RULES} from './capacity_rules.js';
import {CAPACITY_SHARING} from './capacity_sharing.js';

/** All capacity commands, in the order in which `--list` prints them. */
export const CAPACITY_COMMANDS: readonly CapacityCommand[] = [
  CAPACITY_RULES,
  CAPACITY_SHARING,
  CAPACITY_BILLING,
  CAPACITY_CLAIMS_LEASES_AUDIT,
  CAPACITY_LOAD_REPORTS,
  CAPACITY_PROCESS,
  CAPACITY_ROUTING,
];
