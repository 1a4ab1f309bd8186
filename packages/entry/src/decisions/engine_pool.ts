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

/**
 * Picks the engine (backend server that runs models) for each attempt, from
 * the host list and the load reports in the backend directory.
 */
export class EnginePool {
  private serversKey = '';

  private constructor(
    private readonly directory: BackendDirectory,
    private readonly balancer: BackendBalancer,
  ) {}

  /**
   * Creates a pool without servers; {@link refresh} adds them.
   *
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

  /**
   * Updates the pool from the current host list and load reports.
   *
   * @param entryCount Number of live entries, this one included.
   */
  refresh(entryCount: number): void {
    const engines = this.directory
      .listAll()
      .filter(view => view.host.role === 'engine');
    this.balancer.setEntryCount(entryCount);
    this.updateServers(engines);
    for (const view of engines) this.observe(view);
  }

  /** Marks a server as leaving, as reported by the source. */
  markLeaving(id: string, source: LeavingSource): void {
    this.balancer.markLeaving(id, source, true);
  }

  /**
   * Picks a server for one attempt; call {@link finish} when the attempt ends.
   *
   * @returns undefined when no server can take the request, or when the
   *     address of the picked one is not known.
   */
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

  // Replacing the servers rebuilds the pools of the versions, so it is done
  // only when the list has changed.
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
