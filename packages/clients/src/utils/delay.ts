/**
 * Waits for a number of milliseconds. Resolves early if the signal is aborted.
 *
 * @example
 * ```ts
 * await delay(100, signal);
 * ```
 */
export function delay(delayMs: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted) return Promise.resolve();
  return new Promise(resolve => {
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, delayMs);
    signal?.addEventListener('abort', finish);
  });
}
