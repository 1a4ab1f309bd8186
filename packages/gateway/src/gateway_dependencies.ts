import {type ObjectStore, type Random} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {GatewaySettings} from './config/settings.js';
import {type FollowedKinds} from './control/store/follow_store.js';
import {type HostRegistryIntervals} from './control/hosts/host_registry.js';
import {type RolloutProgressCodec} from './control/rollouts/rollout_state_writer.js';
import type {CallerCodec} from './ports.js';

/** External dependencies of the gateway. */
export interface GatewayDependencies {
  readonly settings: GatewaySettings;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly codec: CallerCodec;
  readonly store: ObjectStore;
  readonly kinds: FollowedKinds;
  readonly progressCodec: RolloutProgressCodec;
  readonly random: Random;
  /** Defaults: those of the host registry. */
  readonly hostIntervals?: HostRegistryIntervals;
}
