import {BaseError} from '@anvilrudder/core';
import {EXIT_CODES, type ExitCode} from './exit_codes.js';

/** Ends a command with a message on stderr and an exit code. */
export interface CliError extends Error {
  readonly exitCode: ExitCode;
}

const CliErrorClass = BaseError.subclass('CliError', {
  props: {exitCode: EXIT_CODES.usage as ExitCode},
});

export const CliError = {
  /**
   * Creates an error that ends the command.
   *
   * @example
   * ```ts
   * throw CliError.create('no entry answered', EXIT_CODES.unreachable);
   * ```
   */
  create(message: string, exitCode: ExitCode): CliError {
    return new CliErrorClass(message, {props: {exitCode}});
  },
};

/** Returns true for errors created by {@link CliError.create}. */
export function isCliError(error: unknown): error is CliError {
  return error instanceof CliErrorClass;
}
