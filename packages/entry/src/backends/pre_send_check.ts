import {isBackendError, type BackendError} from '@anvilrudder/clients';

/** A check made in the turn of the event loop that writes the first byte. */
export interface PreSendCheck {
  /** Passed to a client; false withholds the call. */
  readonly confirmSend: () => boolean;
  /** Throws what the check threw, if it withheld the call. */
  rethrowRefusal(error: unknown): void;
}

/**
 * Creates a gate from a check that throws when a call must not be sent.
 *
 * @example
 * ```ts
 * const gate = createSendGate(() => assertServiceAllowed(keeper, request));
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
 * True when any of the failed calls may have been executed.
 *
 * @example
 * ```ts
 * const execution = mayHaveRun(failures) ? 'unknown' : 'notRun';
 * ```
 */
export function mayHaveRun(failures: readonly BackendError[]): boolean {
  return failures.some(failure => failure.execution !== 'notRun');
}
