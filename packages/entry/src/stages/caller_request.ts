import type {IncomingHttpHeaders} from 'node:http';
import type {Priority, Session} from '@anvilrudder/core';

/** A request as received, before it is authenticated and validated. */
export interface RawRequest {
  readonly requestId: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Monotonic time, in milliseconds, at which the request arrived. */
  readonly receivedAtMs: number;
  /** Aborts when the connection closes before the response is complete. */
  readonly signal: AbortSignal;
}

/** The validated body of `POST /v1/generate`. */
export interface GenerateBody {
  readonly kind: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly sessionToken: string | undefined;
  readonly deadlineMs: number | undefined;
  /**
   * The model and version that the caller requires; either both are set or
   * neither is.
   */
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
  /** True when even a request without a session gets a session token. */
  readonly issuesSession: boolean;
  readonly receivedAtMs: number;
  /** Monotonic time, in milliseconds, at which the request is aborted. */
  readonly deadlineAtMs: number;
  /** Aborts when the connection closes early or the deadline passes. */
  readonly signal: AbortSignal;
}

/** A call of a service that is not a model engine. */
export interface ServiceRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly service: string;
  readonly idempotencyKey: string | undefined;
  readonly body: string;
  readonly receivedAtMs: number;
  readonly signal: AbortSignal;
}
