import {
  clamp,
  type ObjectStore,
  type RegisteredServer,
  type RolloutOrder,
  type RoutingSnapshot,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {HostEntry} from '../hosts/host_registry.js';
import type {EvacuationOrder, Evacuations} from '../servers/evacuations.js';
import type {HostCount} from '../servers/retry_budgets.js';
import type {RolloutController} from '../rollouts/rollout_controller.js';
import type {RoutingState} from './routing_state.js';
import type {ServerDirectory} from '../servers/server_directory.js';
import type {StoreVersionTracker} from './store_version_tracker.js';
import {watchKind, type DecodedObject, type WatchedKind} from './watch_kind.js';

/** The kinds of stored objects that a gateway watches. */
export interface FollowedKinds {
  readonly routing: WatchedKind<RoutingSnapshot>;
  readonly servers: WatchedKind<RegisteredServer>;
  readonly rollouts: WatchedKind<RolloutOrder>;
  /** Followed only if the settings bound the time to an evacuation. */
  readonly evacuations: WatchedKind<EvacuationOrder>;
  readonly hosts: WatchedKind<HostEntry>;
}

/** Dependencies of {@link followStore}. */
export interface FollowStoreOptions {
  readonly store: ObjectStore;
  readonly kinds: FollowedKinds;
  readonly routing: RoutingState;
  readonly directory: ServerDirectory;
  readonly rollouts: RolloutController;
  /** Undefined if evacuations are not followed. */
  readonly evacuations: Evacuations | undefined;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly signal: AbortSignal;
  readonly random: () => number;
  readonly versionTracker: StoreVersionTracker;
  /** Hosts that watch the same store, including this one. */
  readonly hosts: HostCount;
}

/**
 * Time for which changes are batched after an earlier one. Servers change in
 * series, for example while a service is replaced.
 */
const SERVERS_BATCH_DELAY_MS = 600;
const ROLLOUTS_BATCH_DELAY_MS = 400;
const ROUTING_BATCH_DELAY_MS = 300;
const EVACUATIONS_BATCH_DELAY_MS = 300;
/**
 * Maximum wait of one watch call, per host. Hosts start their calls at
 * different times, so that among many hosts one soon sees a change that a
 * stalled connection hides from the others.
 */
const WATCH_WAIT_PER_HOST_MS = 1500;
/** Maximum wait of a call until the number of hosts is known. */
const INITIAL_WATCH_WAIT_MS = 12_000;
const WATCH_WAIT_RANGE_MS = {min: 4000, max: 30_000} as const;
/** Share of the wait that is random, so that hosts do not synchronise. */
const WATCH_WAIT_JITTER = 0.25;

/** Reports whether the initial state has arrived from the store. */
export interface StoreFollower {
  readonly isSynced: () => boolean;
}

/**
 * Watches the store and applies its changes to routing, servers, rollouts and
 * evacuations.
 *
 * @example
 * ```ts
 * const follower = followStore(options);
 * follower.isSynced(); // false until the first lists have arrived
 * ```
 */
export function followStore(options: FollowStoreOptions): StoreFollower {
  const {kinds, routing, directory, rollouts, evacuations, logger} = options;
  const sharedOptions = {
    ...options,
    readWaitMs: () => computeWatchWaitMs(options),
  };
  options.store.era?.onChange(({era, previous}) => {
    logger.warn('store_restored', {era, previous});
    options.metrics.count('store_restores_total');
    directory.markRestored();
    rollouts.markRestored();
  });
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
      {...sharedOptions, batchDelayMs: ROUTING_BATCH_DELAY_MS},
    ),
    watchKind(
      kinds.servers,
      {
        onAll: objects => {
          directory.replaceAll(objects.flatMap(listRegistered));
          hasServers = true;
        },
        onPut: object => {
          const [server] = listRegistered(object);
          if (server === undefined) directory.remove(object.name);
          else directory.put(server);
        },
        onRemoved: name => directory.remove(name),
        onUnavailable: () => directory.markUnavailable(),
        onRecovered: () => directory.markRecovered(),
      },
      {...sharedOptions, batchDelayMs: SERVERS_BATCH_DELAY_MS},
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
      {...sharedOptions, batchDelayMs: ROLLOUTS_BATCH_DELAY_MS},
    ),
  ];
  if (evacuations !== undefined) {
    watches.push(
      watchKind(kinds.evacuations, evacuations, {
        ...sharedOptions,
        batchDelayMs: EVACUATIONS_BATCH_DELAY_MS,
      }),
    );
  }
  for (const watch of watches) {
    watch.catch((error: unknown) => {
      logger.error('watch_fault', {message: String(error)});
      throw error;
    });
  }
  return {
    isSynced: () =>
      hasServers &&
      hasRollouts &&
      routing.current !== undefined &&
      evacuations?.isKnown !== false,
  };
}

function computeWatchWaitMs({hosts, random}: FollowStoreOptions): number {
  const {min, max} = WATCH_WAIT_RANGE_MS;
  const baseMs = hosts.hasHostList
    ? clamp(WATCH_WAIT_PER_HOST_MS * hosts.count, min, max)
    : INITIAL_WATCH_WAIT_MS;
  return baseMs * (1 - WATCH_WAIT_JITTER * random());
}

/** Returns the server of an entry with its version; none if it is unreadable. */
function listRegistered({
  value,
  version,
}: DecodedObject<RegisteredServer>): readonly RegisteredServer[] {
  return value === undefined ? [] : [{...value, registrationVersion: version}];
}
