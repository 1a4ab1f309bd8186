import type {
  ByteBudget,
  PaceObserver,
  Random,
  PrefillTimeEstimator,
  ServerTable,
  DecodeTimeEstimator,
  DurationEstimator,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {GatewaySettings} from './config/settings.js';
import type {BrittleServers} from './control/servers/brittle_servers.js';
import type {CrashGuard} from './control/servers/crash_guard.js';
import type {Evacuations} from './control/servers/evacuations.js';
import type {HostRegistry} from './control/hosts/host_registry.js';
import type {HostRelay} from './control/hosts/host_relay.js';
import type {HostMessenger} from './control/hosts/host_messenger.js';
import type {HomeRegions} from './control/servers/home_regions.js';
import type {RetryBudgets} from './control/servers/retry_budgets.js';
import type {LoadAdmissions} from './control/scheduling/load_admissions.js';
import type {RoutingState} from './control/store/routing_state.js';
import type {ServerLimits} from './control/servers/server_limits.js';
import type {ColdTokens} from './control/servers/cold_tokens.js';
import type {SlowStarts} from './control/servers/slow_starts.js';
import type {ServerPools} from './control/servers/server_pools.js';
import type {VersionSelector} from './control/rollouts/version_selector.js';
import type {HostDrain} from './server/host_drain.js';
import type {HostResources} from './server/host_resources.js';
import type {CallerCodec} from './ports.js';

/** Shared components that the stages of a forwarded request use. */
export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly codec: CallerCodec;
  readonly routing: RoutingState;
  readonly servers: ServerTable;
  readonly pools: ServerPools;
  readonly retryBudgets: RetryBudgets;
  readonly hosts: HostRegistry;
  readonly hostRelay: HostRelay;
  readonly hostMessenger: HostMessenger;
  readonly prefillEstimator: PrefillTimeEstimator;
  readonly decodeEstimator: DecodeTimeEstimator;
  /** Durations of requests without generation, by route. */
  readonly routeDurations: DurationEstimator;
  /** Undefined if the paces of servers are not learnt. */
  readonly paces: PaceObserver | undefined;
  readonly versions: VersionSelector;
  readonly brittleServers: BrittleServers;
  readonly crashGuard: CrashGuard;
  readonly serverLimits: ServerLimits;
  /** Undefined where the settings have no bounds for cold servers. */
  readonly slowStarts: SlowStarts | undefined;
  readonly coldTokens: ColdTokens | undefined;
  /** Undefined if the settings have no regions. */
  readonly homeRegions: HomeRegions | undefined;
  /** Undefined where the settings have no admission under load. */
  readonly loadAdmissions: LoadAdmissions | undefined;
  /** Undefined if operators do not evacuate failure domains. */
  readonly evacuations: Evacuations | undefined;
  /** Limits the large response bodies that are in memory, without `resources`. */
  readonly largeBodies: ByteBudget;
  /** Undefined if the settings do not bound memory and descriptors. */
  readonly resources: HostResources | undefined;
  readonly random: Random;
  readonly drain: HostDrain;
}
