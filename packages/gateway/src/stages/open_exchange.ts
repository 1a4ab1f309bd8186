import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {
  createUnknownOutcome,
  digestRequest,
  isRetryableKind,
  RouterError,
  StreamProgress,
  type BodyFraming,
  type ForwardOrganisation,
  type ForwardRoute,
  listSuspectIds,
  type Quarantine,
  type ResponseVerdict,
} from '@anvilrudder/core';
import type {VersionBasis} from '../control/rollouts/version_selector.js';
import type {ForwardedRequest} from '../ports.js';
import type {CallerWriter} from './caller_writer.js';

/** Reason for ending an exchange before its response is complete. */
export type ExchangeStop =
  'callerLeft' | 'timeLimit' | 'shutdown' | 'quarantined';

/** Why a request must not go to a server that could run it. */
export type ServerExclusion = 'evacuation' | 'region';

/** An admitted request, its route and the response to its caller. */
export interface AdmittedRequest {
  readonly request: ForwardedRequest;
  readonly route: ForwardRoute;
  readonly organisation: ForwardOrganisation | undefined;
  readonly routingVersion: number;
  readonly arrivedMs: number;
  readonly body: Buffer | undefined;
  readonly response: ServerResponse;
  /** Undefined if no memory is set aside for slow callers. */
  readonly writer: CallerWriter | undefined;
  /** Headers as the caller sent them. */
  readonly callerHeaders: IncomingHttpHeaders;
  /** True if another host has relayed the request; it is not relayed again. */
  readonly isRelayed: boolean;
}

/** Reserved so that the final response arrives before the caller times out. */
const RESPONSE_MARGIN_MS = 15;

/** State of an admitted request until its response has ended. */
export class OpenExchange {
  /** Ids of the backend servers that the request was sent to. */
  readonly triedServerIds = new Set<string>();
  readonly endMs: number;
  /** The same on all hosts for repeats of the request. */
  readonly digest: string;
  /** What may be the cause if a server crashes on the request. */
  readonly suspectIds: readonly string[];
  attempts = 0;
  /** Servers to which no connection could be made. */
  unsentCount = 0;
  /** Address of the host that relayed the response. */
  relayedTo: string | undefined;
  /** A server may have run the request, or may still run it. */
  mayHaveRun = false;
  model: string | undefined;
  server: string | undefined;
  softwareVersion: string | undefined;
  /**
   * New version of a rollout, if this host lists no server of the one before that
   * the request needs.
   */
  lostBeforeVersion: string | undefined;
  /** Why no server was left, if all that were left may not get the request. */
  excludedBy: ServerExclusion | undefined;
  /** Why the request goes to that version; undefined if only one runs. */
  versionBasis: VersionBasis | undefined;
  /** Whether capacity was scarce, or nothing is known of it, at its first send. */
  isCapacityScarce = true;
  confidence: number | undefined;
  escalations = 0;
  /** Expected time to the first event of the larger model. */
  expectedFirstMs: number | undefined;
  /** Time from the arrival of the request to the escalation. */
  escalatedMs: number | undefined;
  resumptions = 0;
  firstMs: number | undefined;
  /** What the caller has of a stream, and what is known of its rest. */
  readonly progress: StreamProgress;
  /** Framing of the response to the caller, if it is a stream. */
  callerFraming: BodyFraming = 'chunks';
  /** Undefined until the response to the caller has ended. */
  responseVerdict: ResponseVerdict | undefined;
  /** Reason for which it was not sent, or not again. */
  quarantine: Quarantine | undefined;
  /** It is sent to one server only, as it may make servers crash. */
  isTrial = false;
  private stopReason: ExchangeStop | undefined;
  private readonly controller = new AbortController();
  private readonly timer: NodeJS.Timeout;

  private constructor(readonly admitted: AdmittedRequest) {
    const {arrivedMs, request, route} = admitted;
    const waitMs = Math.min(route.timeLimitMs, request.deadlineMs ?? Infinity);
    this.endMs = arrivedMs + Math.max(0, waitMs - RESPONSE_MARGIN_MS);
    this.digest = digestAdmitted(admitted);
    this.suspectIds = listSuspectIds(
      this.digest,
      request.generation?.parts ?? [],
    );
    this.progress = StreamProgress.create(request.lastEventId);
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

  /** True if more than one server may run the request. */
  get isRetryable(): boolean {
    const {kind, isResumable} = this.admitted.route;
    return isRetryableKind(kind, isResumable);
  }

  /** Stops all work on the exchange; only the first reason is kept. */
  stop(reason: ExchangeStop): void {
    if (this.stopReason !== undefined) return;
    this.stopReason = reason;
    this.controller.abort();
  }

  /** Stops the exchange because of a suspect, unless its answer has begun. */
  stopQuarantined(quarantine: Quarantine): void {
    if (this.admitted.response.headersSent) return;
    this.quarantine ??= quarantine;
    this.stop('quarantined');
  }

  /** Clears the timer; to be called once the response has ended. */
  close(): void {
    clearTimeout(this.timer);
  }

  /** Creates the final error; its code depends on {@link mayHaveRun}. */
  createFinalError(retryAfterMs: number): RouterError {
    if (this.stopReason === 'timeLimit') {
      return RouterError.create('The time limit of the request is reached.', {
        code: this.mayHaveRun ? 'deadline_exceeded' : 'overloaded',
        retryAfterMs,
      });
    }
    if (this.quarantine !== undefined && !this.mayHaveRun) {
      return RouterError.create('The request is quarantined.', {
        code: 'quarantined',
        retryAfterMs: this.quarantine.remainingMs,
      });
    }
    if (this.mayHaveRun) return createUnknownOutcome();
    return RouterError.create('No backend server took the request.', {
      code: 'no_backend',
      retryAfterMs,
    });
  }
}

function digestAdmitted({
  request,
  organisation,
  body,
}: AdmittedRequest): string {
  const {method, hostName, path, generation} = request;
  return digestRequest({
    method,
    hostName,
    path,
    organisation: organisation?.name,
    partIds: generation?.parts.map(({id}) => id) ?? [],
    body,
  });
}
