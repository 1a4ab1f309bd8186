import type {ObjectStoreFailure} from '../errors/object_store_error.js';
import type {TransportFailure} from '../errors/transport_error.js';

/** How a failed exchange counts for a call to an object store. */
export const STORE_FAILURE_BY_TRANSPORT_FAILURE: Readonly<
  Record<TransportFailure, ObjectStoreFailure>
> = {
  connect: 'connect',
  timeout: 'timeout',
  aborted: 'aborted',
  withheld: 'aborted',
  cut: 'cut',
  unproven: 'cut',
  tooLarge: 'badAnswer',
  malformed: 'badAnswer',
};
