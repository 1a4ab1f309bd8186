import {
  observeAttempt,
  UNKNOWN_HEALTH,
  type ServerHealth,
} from './server_health.js';
import type {AttemptEnd} from './attempt_outcome.js';
import type {
  GenerationDemand,
  PromptPart,
  RegisteredServer,
} from './exchange_types.js';
import {PartMemory} from './part_memory.js';

/** What this host knows of one server. */
export interface ServerRecord {
  readonly server: RegisteredServer;
  readonly health: ServerHealth;
  /** Requests of this host at the server. */
  readonly inFlight: number;
  /** Reading of prompts that this host waits for there. */
  readonly waitingWorkMs: number;
  /** When the reading that all hosts sent there is probably done. */
  readonly backlogEndMs: number;
  /** Requests of other hosts that ran there when the last one was told. */
  readonly remoteRunning: number;
  readonly remoteToldMs: number;
  readonly prefixCache: PartMemory;
}

interface MutableRecord {
  server: RegisteredServer;
  health: ServerHealth;
  inFlight: number;
  waitingWorkMs: number;
  backlogEndMs: number;
  remoteRunning: number;
  remoteToldMs: number;
  readonly prefixCache: PartMemory;
}

/** One send to a server, from its start to its end. */
export interface InFlightSend {
  readonly server: RegisteredServer;
  /** Reading that the server has to do before the first event. */
  readonly workMs: number;
}

/** A request of another host that makes a server read. */
export interface RemoteWork {
  readonly serverId: string;
  readonly workMs: number;
  readonly model: string;
  readonly parts: readonly PromptPart[];
}

interface MutableSend extends InFlightSend {
  isWaiting: boolean;
}

/** The registered servers, and this host's own view of each. */
export class ServerTable {
  private readonly records = new Map<string, MutableRecord>();
  private byService = new Map<string, MutableRecord[]>();
  private readonly memoryTokens = new Map<string, number>();

  private constructor() {}

  static create(): ServerTable {
    return new ServerTable();
  }

  /** Declares how many tokens the memory of each server of a service holds. */
  setKvCacheTokens(service: string, tokens: number): void {
    this.memoryTokens.set(service, tokens);
  }

  /** Adds or changes a server. */
  put(server: RegisteredServer): void {
    const known = this.records.get(server.id);
    if (known !== undefined) known.server = server;
    else {
      this.records.set(server.id, {
        server,
        health: UNKNOWN_HEALTH,
        inFlight: 0,
        waitingWorkMs: 0,
        backlogEndMs: -Infinity,
        remoteRunning: 0,
        remoteToldMs: -Infinity,
        prefixCache: PartMemory.create(),
      });
    }
    this.regroup();
  }

  /** Forgets a server that is gone; sends there end as usual. */
  remove(id: string): void {
    if (this.records.delete(id)) this.regroup();
  }

  get size(): number {
    return this.records.size;
  }

  find(id: string): ServerRecord | undefined {
    return this.records.get(id);
  }

  /** All servers of a service, leaving ones included. */
  list(service: string): readonly ServerRecord[] {
    return this.byService.get(service) ?? [];
  }

  /** All registered ids. */
  listIds(): readonly string[] {
    return [...this.records.keys()];
  }

  /** Counts a request as sent; each send ends in {@link end}. */
  begin(
    id: string,
    workMs: number,
    model: string,
    demand: GenerationDemand | undefined,
    nowMs: number,
  ): InFlightSend | undefined {
    const record = this.records.get(id);
    if (record === undefined) return undefined;
    record.inFlight += 1;
    record.waitingWorkMs += workMs;
    addBacklog(record, workMs, nowMs);
    if (demand !== undefined) this.recordParts(record, model, demand.parts);
    const send: MutableSend = {
      server: record.server,
      workMs,
      isWaiting: true,
    };
    return send;
  }

  /** Takes in that another host sent a request to a server. */
  recordRemoteWork(work: RemoteWork, nowMs: number): void {
    const record = this.records.get(work.serverId);
    if (record === undefined) return;
    addBacklog(record, work.workMs, nowMs);
    record.remoteRunning = 1 + readRemoteRunning(record, nowMs);
    record.remoteToldMs = nowMs;
    this.recordParts(record, work.model, work.parts);
  }

  /** Notes that the server began to answer: its reading is done. */
  markAnswering(send: InFlightSend): void {
    const open = send as MutableSend;
    if (!open.isWaiting) return;
    open.isWaiting = false;
    const record = this.records.get(send.server.id);
    if (record === undefined) return;
    record.waitingWorkMs = Math.max(0, record.waitingWorkMs - send.workMs);
  }

  /** Takes in the end of a send; undefined says nothing of the server. */
  end(send: InFlightSend, end: AttemptEnd | undefined, nowMs: number): void {
    this.markAnswering(send);
    const record = this.records.get(send.server.id);
    if (record === undefined) return;
    record.inFlight = Math.max(0, record.inFlight - 1);
    if (end === undefined) return;
    record.health = observeAttempt(record.health, end, nowMs);
  }

  private recordParts(
    {server, prefixCache: memory}: MutableRecord,
    model: string,
    parts: readonly PromptPart[],
  ): void {
    memory.record(model, parts, this.memoryTokens.get(server.service));
  }

  private regroup(): void {
    this.byService = new Map();
    for (const record of this.records.values()) {
      const {service} = record.server;
      const group = this.byService.get(service);
      if (group === undefined) this.byService.set(service, [record]);
      else group.push(record);
    }
  }
}

function addBacklog(
  record: MutableRecord,
  workMs: number,
  nowMs: number,
): void {
  record.backlogEndMs = Math.max(record.backlogEndMs, nowMs) + workMs;
}

/** Time in which half of the requests that other hosts told of have ended. */
const REMOTE_HALF_LIFE_MS = 1000;

/**
 * Requests of other hosts that probably run at a server. Hosts tell of what
 * begins and not of what ends.
 */
export function readRemoteRunning(
  {remoteRunning, remoteToldMs}: ServerRecord,
  nowMs: number,
): number {
  if (remoteRunning === 0) return 0;
  return remoteRunning * 0.5 ** ((nowMs - remoteToldMs) / REMOTE_HALF_LIFE_MS);
}

/** Reading that waits at a server, as far as this host can tell. */
export function estimateBacklogMs(record: ServerRecord, nowMs: number): number {
  return Math.max(0, record.waitingWorkMs, record.backlogEndMs - nowMs);
}
