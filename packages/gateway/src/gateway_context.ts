import type {
  Random,
  PrefillTimeEstimator,
  ServerTable,
  DecodeTimeEstimator,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {GatewaySettings} from './config/settings.js';
import type {HostRegistry} from './control/host_registry.js';
import type {HostMessenger} from './control/host_messenger.js';
import type {RepeatBudgets} from './control/repeat_budgets.js';
import type {RoutingState} from './control/routing_state.js';
import type {ServerPools} from './control/server_pools.js';
import type {VersionSelector} from './control/version_selector.js';
import type {CallerCodec} from './ports.js';

/** Everything that the stages of a forwarded request use. */
export interface GatewayContext {
  readonly settings: GatewaySettings;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly codec: CallerCodec;
  readonly routing: RoutingState;
  readonly servers: ServerTable;
  readonly pools: ServerPools;
  readonly budgets: RepeatBudgets;
  readonly hosts: HostRegistry;
  readonly loads: HostMessenger;
  readonly speeds: PrefillTimeEstimator;
  readonly writeSpeeds: DecodeTimeEstimator;
  readonly versions: VersionSelector;
  readonly random: Random;
  /** True once a planned stop has begun. */
  readonly isStopping: () => boolean;
}
