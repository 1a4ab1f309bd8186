import {
  EvacuationState,
  type EvacuationChange,
  type ServerTable,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {TrackedWatch} from '../store/store_version_tracker.js';
import type {DecodedObject, KindHandlers} from '../store/watch_kind.js';

/** An operator's order to send nothing to the servers of a failure domain. */
export interface EvacuationOrder {
  readonly failureDomain: string;
}

/** Where a send to an evacuated failure domain was prevented. */
export type PreventedAt =
  /** All servers that the request could go to are evacuated. */
  | 'choice'
  /** The evacuation came after the choice, before the first byte. */
  | 'send';

/** Dependencies of {@link Evacuations}. */
export interface EvacuationsOptions {
  /** Time within which an evacuation is in force at all hosts. */
  readonly applyWithinMs: number;
  readonly servers: ServerTable;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  /** Returns the watch of the evacuations, once it is registered. */
  readonly findWatch: () => TrackedWatch | undefined;
  /** True once the servers have been listed. */
  readonly hasServers: () => boolean;
  /** Called with the failure domain of an evacuation that begins. */
  readonly onEvacuationBegun?: (failureDomain: string) => void;
  /** Called with the failure domain of an evacuation that ends. */
  readonly onEvacuationEnded?: (failureDomain: string) => void;
}

/**
 * Share of the bound for which a process may be paused without listing the
 * evacuations again. The rest is left to deliver a change.
 */
const MAX_PAUSE_SHARE = 0.5;
/** A busy host may run no timer for shorter times, whatever the bound. */
const MIN_PAUSE_MS = 1000;

/**
 * Follows the evacuations that operators write to the store. Servers of an
 * evacuated failure domain are neither chosen nor sent to. An entry that becomes
 * unreadable leaves its evacuation in force until it is removed.
 */
export class Evacuations implements KindHandlers<EvacuationOrder> {
  private readonly state: EvacuationState;
  /** Evacuated failure domains that have not been checked for servers. */
  private readonly unchecked = new Set<string>();

  private constructor(private readonly options: EvacuationsOptions) {
    const maxPauseMs = Math.max(
      MIN_PAUSE_MS,
      options.applyWithinMs * MAX_PAUSE_SHARE,
    );
    this.state = EvacuationState.create(maxPauseMs, performance.now());
    options.metrics.registerGauge(
      'evacuated_domains',
      () => this.state.failureDomains.size,
    );
  }

  /**
   * @example
   * ```ts
   * const evacuations = Evacuations.create(options);
   * evacuations.maySend(); // false until the first list has arrived
   * ```
   */
  static create(options: EvacuationsOptions): Evacuations {
    return new Evacuations(options);
  }

  /** True once the evacuations have been listed. */
  get isKnown(): boolean {
    return this.state.knowledge !== 'unknown';
  }

  /** True unless this host has to list the evacuations before it sends. */
  maySend(): boolean {
    const wasKnown = this.state.knowledge === 'known';
    const maySend = this.state.maySend(performance.now());
    if (wasKnown && !maySend) this.restartWatch();
    return maySend;
  }

  /** Counts a send that did not happen because of an evacuation. */
  recordPrevented(at: PreventedAt): void {
    this.options.metrics.count('sends_prevented_by_evacuation_total', {at});
  }

  onAll(objects: readonly DecodedObject<EvacuationOrder>[]): void {
    const inForce = objects.filter(
      ({name, value}) => value !== undefined || this.state.has(name),
    );
    this.apply(this.state.replaceAll(inForce.map(({name}) => name)));
  }

  onPut({name, value}: DecodedObject<EvacuationOrder>): void {
    if (value !== undefined) this.apply(this.state.put(name));
  }

  onRemoved(name: string): void {
    this.apply(this.state.remove(name));
  }

  onUnavailable(): void {
    this.state.recordFailure();
  }

  /** Notices pauses of the process, and evacuations without servers. */
  tick(): void {
    this.state.tick(performance.now());
    if (this.state.knowledge === 'outdated') this.restartWatch();
    if (!this.options.hasServers()) return;
    for (const failureDomain of this.unchecked) {
      if (this.countServers(failureDomain) > 0) continue;
      this.options.logger.warn('evacuated_domain_unknown', {failureDomain});
    }
    this.unchecked.clear();
  }

  /** Lists the evacuations anew; a watch that is not waiting lists later. */
  private restartWatch(): void {
    const watch = this.options.findWatch();
    if (watch?.pendingMs === undefined) return;
    this.options.logger.warn('evacuations_outdated');
    this.state.recordListing();
    watch.restart();
  }

  private apply({begun, ended}: EvacuationChange): void {
    const {servers, logger, onEvacuationBegun, onEvacuationEnded} =
      this.options;
    servers.setEvacuatedDomains(this.state.failureDomains);
    for (const failureDomain of begun) {
      this.unchecked.add(failureDomain);
      logger.warn('domain_evacuated', {
        failureDomain,
        servers: this.countServers(failureDomain),
      });
      onEvacuationBegun?.(failureDomain);
    }
    for (const failureDomain of ended) {
      this.unchecked.delete(failureDomain);
      logger.info('evacuation_ended', {
        failureDomain,
        servers: this.countServers(failureDomain),
      });
      onEvacuationEnded?.(failureDomain);
    }
  }

  private countServers(failureDomain: string): number {
    return this.options.servers.listDomain(failureDomain).length;
  }
}
