import {RouterError} from '../../errors/router_error.js';

/** Statuses that tell a caller that its request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * True if a status tells a caller that its request has not run and never will, so
 * that the caller may send it again, whatever its kind.
 *
 * @example
 * ```ts
 * claimsNotRun(503); // true
 * ```
 */
export function claimsNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}

/** Creates the error of a request of which nothing more is known. */
export function createUnknownOutcome(): RouterError {
  return RouterError.create('The outcome of the request is unknown.', {
    code: 'outcome_unknown',
  });
}

/**
 * Checks the status of a response before it goes to a caller.
 *
 * @param mayHaveRun a server may have run the request, or may still run it.
 * @throws RouterError `outcome_unknown` if the status claims more than is proven.
 * @example
 * ```ts
 * checkStatusClaim(503, true); // throws
 * checkStatusClaim(500, true);
 * ```
 */
export function checkStatusClaim(status: number, mayHaveRun: boolean): void {
  if (mayHaveRun && claimsNotRun(status)) throw createUnknownOutcome();
}

/**
 * Returns the error that may go to a caller: one that claims that its request has not
 * run is replaced by one that claims nothing, if that is not proven.
 *
 * @param mayHaveRun a server may have run the request, or may still run it.
 * @example
 * ```ts
 * withholdUnprovenClaim(overloaded, true).code; // 'outcome_unknown'
 * ```
 */
export function withholdUnprovenClaim(
  error: RouterError,
  mayHaveRun: boolean,
): RouterError {
  const isKept = !mayHaveRun || error.execution !== 'notRun';
  return isKept ? error : createUnknownOutcome();
}
