import {BAD_VERSION} from './bad_version/bad_version.js';
import {DECISION_COST} from './decision_cost/decision_cost.js';
import type {Experiment} from './harness/experiment.js';
import {LIMITS} from './limits/limits.js';
import {MODEL_CHOICE} from './model_choice/model_choice.js';
import {BACKEND_CHOICE} from './service/backend_choice.js';
import {HEDGING} from './service/hedging.js';
import {OVERLOAD} from './service/overload.js';
import {RECOVERY} from './service/recovery.js';

/** All experiments, in the order in which `--list` prints them. */
export const EXPERIMENTS: readonly Experiment[] = [
  MODEL_CHOICE,
  BAD_VERSION,
  BACKEND_CHOICE,
  OVERLOAD,
  LIMITS,
  RECOVERY,
  HEDGING,
  DECISION_COST,
];
