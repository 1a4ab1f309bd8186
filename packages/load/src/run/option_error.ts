import {BaseError} from '@anvilrudder/core';

const OptionErrorClass = BaseError.subclass('LoadOptionError');

/** Thrown when the options of a run are invalid. */
export interface LoadOptionError extends Error {
  /** A message for each invalid option. */
  readonly issues: readonly string[];
}

/** Creates a {@link LoadOptionError} from the messages of invalid options. */
export function createLoadOptionError(
  issues: readonly string[],
): LoadOptionError {
  return new OptionErrorClass(issues.join('; '), {props: {issues}});
}

/** Whether an error was created by {@link createLoadOptionError}. */
export function isLoadOptionError(error: unknown): error is LoadOptionError {
  return error instanceof OptionErrorClass;
}
