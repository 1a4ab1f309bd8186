import {RoutingTable, type RoutingSnapshot} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';

/** Called with the routing table of each snapshot that is applied. */
export type SnapshotListener = (table: RoutingTable) => void;

/** The newest routing snapshot that this process has seen. */
export class RoutingState {
  private table: RoutingTable | undefined;
  private readonly listeners: SnapshotListener[] = [];

  private constructor(private readonly logger: Logger) {}

  static create(logger: Logger): RoutingState {
    return new RoutingState(logger);
  }

  /** Undefined until the first snapshot has arrived. */
  get current(): RoutingTable | undefined {
    return this.table;
  }

  onChange(listener: SnapshotListener): void {
    this.listeners.push(listener);
  }

  /** Applies a snapshot unless the same or a newer version is in effect. */
  apply(snapshot: RoutingSnapshot): void {
    const before = this.table?.version;
    if (before !== undefined && snapshot.version <= before) {
      if (snapshot.version < before) {
        this.logger.warn('routing_stale', {
          version: snapshot.version,
          inForce: before,
        });
      }
      return;
    }
    this.table = RoutingTable.create(snapshot);
    this.logger.info('routing_changed', {
      version: snapshot.version,
      before,
      routes: snapshot.routes.length,
      services: snapshot.services.length,
      organisations: snapshot.organisations.length,
    });
    for (const listener of this.listeners) listener(this.table);
  }
}
