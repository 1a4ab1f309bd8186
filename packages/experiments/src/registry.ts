import {BAD_VERSION} from './bad_version/bad_version.js';
import type {Experiment} from './harness/experiment.js';
import {MODEL_CHOICE} from './model_choice/model_choice.js';
import {BACKEND_CHOICE} from './service/backend_choice.js';
import {OVERLOAD} from './service/overload.js';

/** Every experiment, in the order of `--list`. */
export const EXPERIMENTS: readonly Experiment[] = [
  MODEL_CHOICE,
  BAD_VERSION,
  BACKEND_CHOICE,
  OVERLOAD,
];
