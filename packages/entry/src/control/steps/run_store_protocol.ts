import type {
  Execution,
  ObjectStore,
  StoreProtocol,
  StoreReply,
  StoreStep,
} from '@anvilrudder/core';

/**
 * Runs a store protocol to completion, with its calls made to the object API.
 *
 * @example
 * ```ts
 * const outcome = await runStoreProtocol(store, finishClaim(held, result));
 * ```
 */
export async function runStoreProtocol<T>(
  store: ObjectStore,
  protocol: StoreProtocol<T>,
): Promise<T> {
  let state = protocol.next();
  while (!state.done) {
    const reply = await runStoreStep(store, state.value);
    state = protocol.next(reply);
  }
  return state.value;
}

/** Makes one call; a failed call results in a `failed` reply, not an error. */
export async function runStoreStep(
  store: ObjectStore,
  step: StoreStep,
): Promise<StoreReply> {
  try {
    switch (step.kind) {
      case 'get':
        return {kind: 'object', object: await store.get(step.key)};
      case 'list':
        return {kind: 'page', page: await store.list(step.prefix, step.after)};
      case 'put': {
        const result = await store.put(step.key, step.value, step.condition);
        return {kind: 'write', result};
      }
      case 'delete': {
        const result = await store.delete(step.key, step.condition);
        return {kind: 'write', result};
      }
    }
  } catch (error) {
    return {kind: 'failed', execution: resolveExecution(error)};
  }
}

/** Returns `unknown` unless the error states that the call did not run. */
function resolveExecution(error: unknown): Execution {
  const execution = (error as {execution?: unknown} | undefined)?.execution;
  return execution === 'notRun' ? 'notRun' : 'unknown';
}
