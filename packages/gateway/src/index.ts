export * from './config/settings.js';
export type {BrittleAnnouncement} from './control/servers/brittle_announcement.js';
export {BrittleServers} from './control/servers/brittle_servers.js';
export type {CrashAnnouncement} from './control/servers/crash_announcement.js';
export {
  CrashGuard,
  type GuardedRequest,
  type SendPermission,
} from './control/servers/crash_guard.js';
export {
  Evacuations,
  type EvacuationOrder,
} from './control/servers/evacuations.js';
export type {AnnouncementReach} from './control/hosts/announcement_reach.js';
export * from './control/store/follow_store.js';
export {
  HostRegistry,
  readHostEntry,
  type HostEntry,
  type HostRegistryIntervals,
} from './control/hosts/host_registry.js';
export {HostRelay} from './control/hosts/host_relay.js';
export * from './control/hosts/host_messenger.js';
export type {RolloutAnnouncement} from './control/rollouts/rollout_announcement.js';
export type {VersionKey} from './control/rollouts/version_selector.js';
export {RolloutController} from './control/rollouts/rollout_controller.js';
export type {
  RolloutProgressCodec,
  RolloutProgress,
  StateWriteResult,
} from './control/rollouts/rollout_state_writer.js';
export type {LimitAnnouncement} from './control/servers/limit_announcement.js';
export {ColdTokens} from './control/servers/cold_tokens.js';
export type {TokenMessage} from './control/servers/token_message.js';
export {ServerLimits} from './control/servers/server_limits.js';
export {SlowStarts, type ColdReason} from './control/servers/slow_starts.js';
export * from './control/store/store_probe.js';
export * from './control/store/store_prober.js';
export * from './control/store/store_version_tracker.js';
export * from './control/store/watch_kind.js';
export type {GatewayContext} from './gateway_context.js';
export * from './ports.js';
export type {GatewayDependencies} from './gateway_dependencies.js';
export * from './start_gateway.js';
export {EventSplitter} from './stages/event_splitter.js';
export {copyEndToEndHeaders} from './stages/response_headers.js';
