import type {ServerResponse} from 'node:http';
import {
  isRetryableKind,
  RouterError,
  type ForwardOrganisation,
  type ForwardRoute,
} from '@anvilrudder/core';
import type {ForwardedRequest} from '../ports.js';

/** Why an exchange ends before its answer is whole. */
export type ExchangeStop = 'callerLeft' | 'timeLimit' | 'shutdown';

/** A request that passed admission, and how its caller is served. */
export interface AdmittedRequest {
  readonly request: ForwardedRequest;
  readonly route: ForwardRoute;
  readonly organisation: ForwardOrganisation | undefined;
  readonly routingVersion: number;
  readonly arrivedMs: number;
  readonly body: Buffer | undefined;
  readonly response: ServerResponse;
}

/** Time kept back so that the last answer arrives before callers give up. */
const ANSWER_MARGIN_MS = 15;

/** One admitted request until its answer has ended. */
export class OpenExchange {
  /** Ids of the servers that the request was sent to. */
  readonly tried = new Set<string>();
  readonly endMs: number;
  attempts = 0;
  /** A server may have run the request, or may still. */
  mayHaveRun = false;
  model: string | undefined;
  server: string | undefined;
  softwareVersion: string | undefined;
  confidence: number | undefined;
  escalations = 0;
  /** Time to the first event that the larger model was expected to take. */
  expectedFirstMs: number | undefined;
  /** Time from the arrival to the escalation. */
  escalatedMs: number | undefined;
  resumptions = 0;
  firstMs: number | undefined;
  lastEventId: string | undefined;
  private stopReason: ExchangeStop | undefined;
  private readonly controller = new AbortController();
  private readonly timer: NodeJS.Timeout;

  private constructor(readonly admitted: AdmittedRequest) {
    const {arrivedMs, request, route} = admitted;
    const waitMs = Math.min(route.timeLimitMs, request.deadlineMs ?? Infinity);
    this.endMs = arrivedMs + Math.max(0, waitMs - ANSWER_MARGIN_MS);
    this.lastEventId = request.lastEventId;
    const leftMs = Math.max(0, this.endMs - performance.now());
    this.timer = setTimeout(() => this.stop('timeLimit'), leftMs);
    admitted.response.once('close', () => {
      if (!admitted.response.writableFinished) this.stop('callerLeft');
    });
  }

  static create(admitted: AdmittedRequest): OpenExchange {
    return new OpenExchange(admitted);
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get stopped(): ExchangeStop | undefined {
    return this.stopReason;
  }

  get remainingMs(): number {
    return this.endMs - performance.now();
  }

  /** A second server may run the request. */
  get isRepeatable(): boolean {
    const {kind, isResumable} = this.admitted.route;
    return isRetryableKind(kind, isResumable);
  }

  /** Ends all work for the exchange; the first reason counts. */
  stop(reason: ExchangeStop): void {
    if (this.stopReason !== undefined) return;
    this.stopReason = reason;
    this.controller.abort();
  }

  /** Frees the timer; call it when the answer has ended. */
  close(): void {
    clearTimeout(this.timer);
  }

  /** The error of an exchange that is given up, true to what may have run. */
  createGivenUpError(retryAfterMs: number): RouterError {
    if (this.stopReason === 'timeLimit') {
      return RouterError.create('The time limit of the request is reached.', {
        code: this.mayHaveRun ? 'deadline_exceeded' : 'overloaded',
        retryAfterMs,
      });
    }
    if (this.mayHaveRun) {
      return RouterError.create('The outcome of the request is unknown.', {
        code: 'outcome_unknown',
      });
    }
    return RouterError.create('No backend server took the request.', {
      code: 'no_backend',
      retryAfterMs,
    });
  }
}
