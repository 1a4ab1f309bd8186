import {hashToUint32} from '../../utils/hash.js';
import {
  ServerPace,
  type PaceObservation,
} from '../../scheduling/server_pace.js';
import {
  recordAttempt,
  INITIAL_HEALTH,
  type ServerHealth,
} from './server_health.js';
import {
  computeRateDelayMs,
  INITIAL_AVAILABILITY,
  isPaused,
  isSameRun,
  pauseServer,
  type ServerAvailability,
} from './server_availability.js';
import type {AttemptEnd} from '../responses/attempt_outcome.js';
import type {
  GenerationDemand,
  PromptPart,
  RegisteredServer,
} from '../exchange_types.js';
import {PrefixCacheEstimate} from './prefix_cache_estimate.js';
import type {ServerRecord} from './server_record.js';
import {estimateRemoteRunning} from './server_load.js';
import {takeFromLimit, type ServerLimit} from './server_limit.js';
import {
  confirmSlowStartSend,
  takeSlowStartToken,
  type SendToken,
  type SlowStart,
} from '../../scheduling/slow_start.js';

interface MutableRecord {
  server: RegisteredServer;
  readonly idHash: number;
  health: ServerHealth;
  availability: ServerAvailability;
  answeredMs: number;
  inFlight: number;
  unansweredWorkMs: number;
  backlogEndMs: number;
  remoteRequestCount: number;
  remoteUpdatedMs: number;
  readonly prefixCache: PrefixCacheEstimate;
  pace: ServerPace | undefined;
}

/** A request sent to a server that has not ended. */
export interface InFlightSend {
  readonly server: RegisteredServer;
  /** Time that the server needs for it before the first event. */
  readonly workMs: number;
  /** The request may be written from then on, as the server has a limit or is cold. */
  readonly notBeforeMs: number;
}

/** Work caused at a server by a request of another host. */
export interface RemoteWork {
  readonly serverId: string;
  readonly workMs: number;
  readonly model: string;
  readonly parts: readonly PromptPart[];
}

interface MutableSend extends InFlightSend {
  isUnanswered: boolean;
  /** Undefined if the server wasn't cold, or only other hosts send there. */
  readonly token: SendToken | undefined;
}

/** The registered servers and their state, as known to this host. */
export class ServerTable {
  private readonly records = new Map<string, MutableRecord>();
  private byService = new Map<string, MutableRecord[]>();
  private readonly kvCacheTokensByService = new Map<string, number>();
  private evacuatedDomains: ReadonlySet<string> = new Set();

  private constructor() {}

  static create(): ServerTable {
    return new ServerTable();
  }

  /** Sets the failure domains whose servers may receive no request. */
  setEvacuatedDomains(failureDomains: ReadonlySet<string>): void {
    this.evacuatedDomains = failureDomains;
  }

  /** True if an operator has evacuated the failure domain of a server. */
  isEvacuated({failureDomain}: RegisteredServer): boolean {
    return this.evacuatedDomains.has(failureDomain);
  }

  /** Lists the servers of a failure domain. */
  listDomain(failureDomain: string): readonly RegisteredServer[] {
    return [...this.records.values()]
      .map(({server}) => server)
      .filter(server => server.failureDomain === failureDomain);
  }

  /** Sets the KV cache capacity, in tokens, of each server of a service. */
  setKvCacheTokens(service: string, tokens: number): void {
    this.kvCacheTokensByService.set(service, tokens);
  }

  /**
   * Adds or updates a server. A server that is leaving stays so until it is
   * started again; a new run under the same id begins with an empty record.
   */
  put(server: RegisteredServer): void {
    const known = this.records.get(server.id);
    if (known !== undefined && isSameRun(known.server, server)) {
      known.server = server;
      if (server.isLeaving) markRecordLeaving(known);
    } else {
      this.records.set(server.id, createRecord(server));
    }
    this.rebuildServiceIndex();
  }

  /** Records that a server says that it is leaving. */
  markLeaving(server: RegisteredServer): void {
    const record = this.findRun(server);
    if (record !== undefined) markRecordLeaving(record);
  }

  /** Records that a server wants no requests from this host for some time. */
  pause(server: RegisteredServer, pauseMs: number, nowMs: number): void {
    const record = this.findRun(server);
    if (record === undefined) return;
    record.availability = pauseServer(record.availability, pauseMs, nowMs);
  }

  /** Sets what this host may send to a server with a limit; undefined ends it. */
  setLimit(server: RegisteredServer, limit: ServerLimit | undefined): void {
    const record = this.findRun(server);
    if (record === undefined) return;
    record.availability = {...record.availability, limit};
  }

  /** Sets what this host may send to a cold server. */
  setSlowStart(server: RegisteredServer, slowStart: SlowStart): void {
    const record = this.findRun(server);
    if (record === undefined) return;
    record.availability = {...record.availability, slowStart};
  }

  /** Ends the ejections of a service that were not the fault of its servers. */
  endEjections(service: string): void {
    for (const record of this.byService.get(service) ?? [])
      record.health = INITIAL_HEALTH;
  }

  /** True if a request may be sent to this run of the server now. */
  mayReceive(server: RegisteredServer, nowMs: number): boolean {
    const record = this.findRun(server);
    if (record === undefined) return false;
    if (this.isEvacuated(record.server)) return false;
    const {availability} = record;
    return !availability.isLeaving && !isPaused(availability, nowMs);
  }

  /**
   * Records that a request is written to its server now.
   *
   * @returns false if it must not be written, as the server is cold or gone.
   */
  confirmSend(send: InFlightSend, nowMs: number): boolean {
    const record = this.findRun(send.server);
    if (record === undefined) return false;
    const {slowStart} = record.availability;
    if (slowStart === undefined) return true;
    const {token} = send as MutableSend;
    const next = confirmSlowStartSend(slowStart, token, nowMs);
    if (next === undefined) return false;
    record.availability = {...record.availability, slowStart: next};
    return true;
  }

  /** Removes a server; requests in flight there end normally. */
  remove(id: string): void {
    if (this.records.delete(id)) this.rebuildServiceIndex();
  }

  get size(): number {
    return this.records.size;
  }

  find(id: string): ServerRecord | undefined {
    return this.records.get(id);
  }

  /** Lists all servers of a service, leaving ones included. */
  list(service: string): readonly ServerRecord[] {
    return this.byService.get(service) ?? [];
  }

  /** Lists the ids of all registered servers. */
  listIds(): readonly string[] {
    return [...this.records.keys()];
  }

  /**
   * Records that a request is sent to a server; call {@link end} when it ends.
   *
   * @returns undefined when the server is not registered.
   */
  begin(
    id: string,
    workMs: number,
    model: string,
    demand: GenerationDemand | undefined,
    nowMs: number,
  ): InFlightSend | undefined {
    const record = this.records.get(id);
    if (record === undefined) return undefined;
    const {notBeforeMs, token} = takeSend(record, nowMs);
    record.inFlight += 1;
    record.unansweredWorkMs += workMs;
    addBacklog(record, workMs, nowMs);
    if (demand !== undefined) this.recordParts(record, model, demand.parts);
    const send: MutableSend = {
      server: record.server,
      workMs,
      notBeforeMs,
      isUnanswered: true,
      token,
    };
    return send;
  }

  /** Records a request that another host sent to a server. */
  recordRemoteWork(work: RemoteWork, nowMs: number): void {
    const record = this.records.get(work.serverId);
    if (record === undefined) return;
    addBacklog(record, work.workMs, nowMs);
    record.remoteRequestCount = 1 + estimateRemoteRunning(record, nowMs);
    record.remoteUpdatedMs = nowMs;
    this.recordParts(record, work.model, work.parts);
  }

  /** Records what this host or another one has observed of a server's pace. */
  recordPace({serverId, logPace}: PaceObservation, nowMs: number): void {
    const record = this.records.get(serverId);
    if (record === undefined) return;
    record.pace ??= ServerPace.create();
    record.pace.observe(logPace, nowMs);
  }

  /** Records that the server began to answer, so its prefill is done. */
  markAnswering(send: InFlightSend): void {
    const open = send as MutableSend;
    if (!open.isUnanswered) return;
    open.isUnanswered = false;
    const record = this.findRun(send.server);
    if (record === undefined) return;
    record.unansweredWorkMs = Math.max(
      0,
      record.unansweredWorkMs - send.workMs,
    );
  }

  /**
   * Ends a send and updates the health of the server.
   *
   * @param end undefined leaves the health unchanged.
   */
  end(send: InFlightSend, end: AttemptEnd | undefined, nowMs: number): void {
    this.markAnswering(send);
    const record = this.findRun(send.server);
    if (record === undefined) return;
    record.inFlight = Math.max(0, record.inFlight - 1);
    if (end === undefined) return;
    if (end === 'answered') record.answeredMs = nowMs;
    record.health = recordAttempt(record.health, end, nowMs);
  }

  /** Finds the record of a server unless a newer run has replaced it. */
  private findRun(server: RegisteredServer): MutableRecord | undefined {
    const record = this.records.get(server.id);
    return record && isSameRun(record.server, server) ? record : undefined;
  }

  private recordParts(
    {server, prefixCache: memory}: MutableRecord,
    model: string,
    parts: readonly PromptPart[],
  ): void {
    memory.record(
      model,
      parts,
      this.kvCacheTokensByService.get(server.service),
    );
  }

  private rebuildServiceIndex(): void {
    this.byService = new Map();
    for (const record of this.records.values()) {
      const {service} = record.server;
      const group = this.byService.get(service);
      if (group === undefined) this.byService.set(service, [record]);
      else group.push(record);
    }
  }
}

function createRecord(server: RegisteredServer): MutableRecord {
  const {isLeaving} = server;
  return {
    server,
    idHash: hashToUint32(server.id),
    health: INITIAL_HEALTH,
    availability: {...INITIAL_AVAILABILITY, isLeaving},
    answeredMs: -Infinity,
    inFlight: 0,
    unansweredWorkMs: 0,
    backlogEndMs: -Infinity,
    remoteRequestCount: 0,
    remoteUpdatedMs: -Infinity,
    prefixCache: PrefixCacheEstimate.create(),
    pace: undefined,
  };
}

/** Takes a request from the server's rates; tells when it may be written. */
function takeSend(
  record: MutableRecord,
  nowMs: number,
): Pick<MutableSend, 'notBeforeMs' | 'token'> {
  const {limit, slowStart} = record.availability;
  if (limit === undefined && slowStart === undefined)
    return {notBeforeMs: nowMs, token: undefined};
  const delayMs = computeRateDelayMs(record.availability, nowMs);
  const isCold = slowStart !== undefined && nowMs < slowStart.untilMs;
  const taken = isCold ? takeSlowStartToken(slowStart, nowMs) : undefined;
  record.availability = {
    ...record.availability,
    limit: limit && takeFromLimit(limit, nowMs),
    slowStart: taken?.slowStart ?? slowStart,
  };
  const notBeforeMs = nowMs + (Number.isFinite(delayMs) ? delayMs : 0);
  return {notBeforeMs, token: taken?.token};
}

function markRecordLeaving(record: MutableRecord): void {
  record.availability = {...record.availability, isLeaving: true};
}

function addBacklog(
  record: MutableRecord,
  workMs: number,
  nowMs: number,
): void {
  record.backlogEndMs = Math.max(record.backlogEndMs, nowMs) + workMs;
}
