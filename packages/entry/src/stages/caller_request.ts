import type {IncomingHttpHeaders} from 'node:http';
import type {Priority, Session} from '@anvilrudder/core';

/** A request as it came in, before anything of it is trusted. */
export interface RawRequest {
  readonly requestId: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Monotonic time of arrival. */
  readonly receivedAtMs: number;
  /** Aborts when the caller leaves or the entry gives up. */
  readonly signal: AbortSignal;
}

/** The checked body of `POST /v1/generate`. */
export interface GenerateBody {
  readonly kind: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly sessionToken: string | undefined;
  readonly deadlineMs: number | undefined;
  /** Both set when the caller asks for one model and version. */
  readonly model: string | undefined;
  readonly version: string | undefined;
}

/** A generation request of an authenticated organisation. */
export interface GenerateRequest extends GenerateBody {
  readonly requestId: string;
  readonly organisation: string;
  readonly session: Session | undefined;
  readonly qualityTarget: number;
  readonly priority: Priority;
  /** True when the answer issues a session token. */
  readonly issuesSession: boolean;
  readonly receivedAtMs: number;
  /** Monotonic time at which the caller no longer wants the answer. */
  readonly deadlineAtMs: number;
  readonly signal: AbortSignal;
}

/** A call of a plain service. */
export interface ServiceRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly service: string;
  readonly idempotencyKey: string | undefined;
  readonly body: string;
  readonly receivedAtMs: number;
  readonly signal: AbortSignal;
}
