import type {HttpStream} from '@anvilrudder/clients';
import type {InFlightSend} from '@anvilrudder/core';
import type {ResponseHead} from '../ports.js';
import type {SendTarget} from './choose_target.js';

/** The response of a backend server to one send. */
export interface BackendResponse {
  readonly stream: HttpStream;
  readonly head: ResponseHead;
  readonly send: InFlightSend;
  readonly target: SendTarget;
  /** Time of the send, on the monotonic clock. */
  readonly sentMs: number;
  /** Time at which the response head arrived. */
  readonly headMs: number;
}
