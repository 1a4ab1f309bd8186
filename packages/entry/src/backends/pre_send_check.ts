import {isBackendError, type BackendError} from '@anvilrudder/clients';

/**
 * A check that runs in the same turn of the event loop in which the first byte
 * of a call is written.
 */
export interface PreSendCheck {
  /** To be passed to a client; the client does not send the call on false. */
  readonly confirmSend: () => boolean;
  /** Throws the error of the check if it made the client withhold the call. */
  rethrowRefusal(error: unknown): void;
}

/**
 * Creates a pre-send check from a function that throws when a call must not be
 * sent.
 *
 * @example
 * ```ts
 * const sendCheck = createPreSendCheck(() =>
 *   assertServiceAllowed(rulesManager, request),
 * );
 * ```
 */
export function createPreSendCheck(check: () => void): PreSendCheck {
  let refusal: unknown;
  return {
    confirmSend() {
      try {
        check();
        return true;
      } catch (error) {
        refusal = error;
        return false;
      }
    },
    rethrowRefusal(error) {
      if (isBackendError(error) && error.failure === 'withheld') throw refusal;
    },
  };
}

/**
 * Returns true when any of the failed calls may have been executed.
 *
 * @example
 * ```ts
 * const execution = mayHaveRun(failures) ? 'unknown' : 'notRun';
 * ```
 */
export function mayHaveRun(failures: readonly BackendError[]): boolean {
  return failures.some(failure => failure.execution !== 'notRun');
}
