import {
  clamp,
  type ObjectStore,
  type RegisteredServer,
  type RolloutOrder,
  type RoutingSnapshot,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {HostEntry} from './host_registry.js';
import type {RolloutController} from './rollout_controller.js';
import type {RoutingState} from './routing_state.js';
import type {ServerDirectory} from './server_directory.js';
import type {StoreVersionTracker} from './store_version_tracker.js';
import {watchKind, type DecodedObject, type WatchedKind} from './watch_kind.js';

/** The kinds of object that a gateway follows. */
export interface FollowedKinds {
  readonly routing: WatchedKind<RoutingSnapshot>;
  readonly servers: WatchedKind<RegisteredServer>;
  readonly rollouts: WatchedKind<RolloutOrder>;
  readonly hosts: WatchedKind<HostEntry>;
}

/** What following the store needs. */
export interface FollowStoreOptions {
  readonly store: ObjectStore;
  readonly kinds: FollowedKinds;
  readonly routing: RoutingState;
  readonly directory: ServerDirectory;
  readonly rollouts: RolloutController;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly signal: AbortSignal;
  readonly random: () => number;
  readonly versionTracker: StoreVersionTracker;
  /** Hosts that follow the same store, this one included. */
  readonly countHosts: () => number;
}

/** Changes of servers come in series, as when a service is replaced. */
const SERVERS_GATHER_MS = 600;
const ROLLOUTS_GATHER_MS = 400;
const ROUTING_GATHER_MS = 300;
/**
 * Longest wait of a watch for each host. The hosts begin their waits at
 * different times, so that one of them soon meets what a silent connection
 * keeps from the others.
 */
const WAIT_PER_HOST_MS = 1500;
const WAIT_RANGE_MS = {least: 4000, most: 30_000} as const;
/** Part of a wait by which hosts differ. */
const WAIT_SPREAD = 0.25;

/** Tells whether the first state of all kinds has arrived. */
export interface StoreFollower {
  readonly isSynced: () => boolean;
}

/**
 * Keeps routing and servers in step with the store.
 *
 * @example
 * ```ts
 * const follower = followStore(options);
 * follower.isSynced(); // false until the first lists arrived
 * ```
 */
export function followStore(options: FollowStoreOptions): StoreFollower {
  const {kinds, routing, directory, rollouts, logger} = options;
  const shared = {...options, readWaitMs: () => chooseWaitMs(options)};
  let hasServers = false;
  let hasRollouts = false;
  const applyRouting = ({value}: DecodedObject<RoutingSnapshot>): void => {
    if (value !== undefined) routing.apply(value);
  };
  const applyOrder = (object: DecodedObject<RolloutOrder>): void => {
    const {value, version} = object;
    if (value !== undefined) rollouts.putOrder(value, version);
  };
  const watches = [
    watchKind(
      kinds.routing,
      {
        onAll: objects => objects.forEach(applyRouting),
        onPut: applyRouting,
        onRemoved: name => logger.warn('routing_removed', {name}),
      },
      {...shared, gatherMs: ROUTING_GATHER_MS},
    ),
    watchKind(
      kinds.servers,
      {
        onAll: objects => {
          directory.replaceAll(listReadable(objects));
          hasServers = true;
        },
        onPut: ({name, value}) => {
          if (value === undefined) directory.remove(name);
          else directory.put(value);
        },
        onRemoved: name => directory.remove(name),
        onLost: () => directory.markLost(),
        onRegained: () => directory.markRegained(),
      },
      {...shared, gatherMs: SERVERS_GATHER_MS},
    ),
    watchKind(
      kinds.rollouts,
      {
        onAll: objects => {
          objects.forEach(applyOrder);
          hasRollouts = true;
        },
        onPut: applyOrder,
        onRemoved: name => rollouts.removeOrder(name),
      },
      {...shared, gatherMs: ROLLOUTS_GATHER_MS},
    ),
  ];
  for (const watch of watches) {
    watch.catch((error: unknown) => {
      logger.error('watch_fault', {message: String(error)});
      throw error;
    });
  }
  return {
    isSynced: () => hasServers && hasRollouts && routing.current !== undefined,
  };
}

function chooseWaitMs({countHosts, random}: FollowStoreOptions): number {
  const {least, most} = WAIT_RANGE_MS;
  const plainMs = clamp(WAIT_PER_HOST_MS * countHosts(), least, most);
  return plainMs * (1 - WAIT_SPREAD * random());
}

function listReadable<T>(objects: readonly DecodedObject<T>[]): readonly T[] {
  return objects.flatMap(({value}) => (value === undefined ? [] : [value]));
}
