import {
  BackendBalancer,
  formatModelVersion,
  type AttemptOutcome,
  type LeavingSource,
  type ModelVersion,
  type PickRequest,
  type Random,
  type ServerPolicyName,
} from '@anvilrudder/core';
import type {
  BackendDirectory,
  BackendView,
} from '../backends/backend_directory.js';

/** Options of {@link EnginePool}. */
export interface EnginePoolOptions {
  readonly directory: BackendDirectory;
  readonly failureDomain: string;
  readonly policy: ServerPolicyName;
  readonly random: Random;
}

/** A server picked for one attempt. */
export interface PickedServer {
  readonly id: string;
  /** `ip:port`. */
  readonly address: string;
}

/** Chooses model engines from what the directory knows of them. */
export class EnginePool {
  private serversKey = '';

  private constructor(
    private readonly directory: BackendDirectory,
    private readonly balancer: BackendBalancer,
  ) {}

  /**
   * @example
   * ```ts
   * const pool = EnginePool.create({directory, failureDomain, policy, random});
   * ```
   */
  static create(options: EnginePoolOptions): EnginePool {
    const {directory, failureDomain, policy, random} = options;
    const balancer = BackendBalancer.create({failureDomain, policy, random});
    return new EnginePool(directory, balancer);
  }

  /** Takes in the directory's present hosts and load reports. */
  refresh(entryCount: number): void {
    const engines = this.directory
      .listAll()
      .filter(view => view.host.role === 'engine');
    this.balancer.setEntryCount(entryCount);
    this.updateServers(engines);
    for (const view of engines) this.observe(view);
  }

  /** Notes that a server is leaving, by its own or a peer's word. */
  markLeaving(id: string, source: LeavingSource): void {
    this.balancer.markLeaving(id, source, true);
  }

  /** Picks a server; each picked one must end in {@link finish}. */
  pick(request: PickRequest): PickedServer | undefined {
    const id = this.balancer.pick(request, performance.now());
    if (id === undefined) return undefined;
    const address = this.directory.findAddress(id);
    if (address !== undefined) return {id, address};
    this.balancer.finish(id, {isFailure: true}, performance.now());
    return undefined;
  }

  finish(id: string, outcome: AttemptOutcome): void {
    this.balancer.finish(id, outcome, performance.now());
  }

  countAvailable(version: ModelVersion): number {
    return this.balancer.countAvailable(version, performance.now());
  }

  countSlots(version: ModelVersion): number {
    return this.balancer.countSlots(version, performance.now());
  }

  // Replacing the servers rebuilds the pools, so it is done on changes only.
  private updateServers(engines: readonly BackendView[]): void {
    const servers = engines.map(({host, load}) => ({
      id: host.host,
      failureDomain: host.failureDomain,
      slots: load?.slots ?? 1,
      loaded: load?.loaded ?? [],
    }));
    const key = servers
      .map(({id, slots, loaded}) =>
        [id, slots, ...loaded.map(formatModelVersion)].join(','),
      )
      .join(';');
    if (key === this.serversKey) return;
    this.serversKey = key;
    this.balancer.updateServers(servers);
  }

  private observe({host, load}: BackendView): void {
    const isListedLeaving = host.state === 'leaving';
    this.balancer.markLeaving(host.host, 'hostList', isListedLeaving);
    if (load === undefined) return;
    this.balancer.markLeaving(host.host, 'server', load.isDraining);
    this.balancer.observeReport(host.host, load);
  }
}
