export * from './config/settings.js';
export type {BrittleAnnouncement} from './control/brittle_announcement.js';
export {BrittleServers} from './control/brittle_servers.js';
export type {CrashAnnouncement} from './control/crash_announcement.js';
export {
  CrashGuard,
  type GuardedRequest,
  type SendPermission,
} from './control/crash_guard.js';
export type {AnnouncementReach} from './control/rollout_announcer.js';
export * from './control/follow_store.js';
export {
  HostRegistry,
  readHostEntry,
  type HostEntry,
  type HostRegistryIntervals,
} from './control/host_registry.js';
export {HostRelay} from './control/host_relay.js';
export * from './control/host_messenger.js';
export type {RolloutAnnouncement} from './control/rollout_announcement.js';
export {RolloutController} from './control/rollout_controller.js';
export type {
  RolloutProgressCodec,
  RolloutProgress,
  StateWriteResult,
} from './control/rollout_state_writer.js';
export type {LimitAnnouncement} from './control/limit_announcement.js';
export {ServerLimits} from './control/server_limits.js';
export * from './control/store_version_tracker.js';
export * from './control/watch_kind.js';
export * from './ports.js';
export * from './start_gateway.js';
export {copyEndToEndHeaders} from './stages/response_headers.js';
