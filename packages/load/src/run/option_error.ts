import {BaseError} from '@anvilrudder/core';

const OptionErrorClass = BaseError.subclass('LoadOptionError');

/** Options that a run can't start with. */
export interface LoadOptionError extends Error {
  /** Everything that is wrong with them. */
  readonly faults: readonly string[];
}

/** Creates the error of options that a run can't start with. */
export function createLoadOptionError(
  faults: readonly string[],
): LoadOptionError {
  return new OptionErrorClass(faults.join('; '), {props: {faults}});
}

/** True for errors made by {@link createLoadOptionError}. */
export function isLoadOptionError(error: unknown): error is LoadOptionError {
  return error instanceof OptionErrorClass;
}
