import {
  RolloutPlan,
  SessionVersions,
  VersionEvidence,
  type AttemptEnd,
  type RolloutBounds,
  type RolloutOrder,
  type RolloutPhase,
  type RolloutSide,
  type RolloutState,
  type ServerRecord,
  type VersionSample,
} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';
import type {RolloutStateWriter} from './rollout_state_writer.js';
import type {
  VersionSelector,
  VersionKey,
  VersionOutcome,
} from './version_selector.js';

/** What a keeper works with. */
export interface RolloutKeeperOptions {
  readonly stateWriter: RolloutStateWriter;
  readonly logger: Logger;
  readonly bounds: RolloutBounds;
  readonly sessionMs: number;
  readonly random: () => number;
  /** Hosts that follow the same roll-outs, this one included. */
  readonly countHosts: () => number;
  /** Told of each answer of a new version, for the other hosts. */
  readonly onNewSample: (sample: RemoteSample) => void;
}

/** What a host saw of a new version, as it tells the others. */
export interface RemoteSample {
  readonly service: string;
  readonly version: string;
  readonly sample: VersionSample;
}

interface FollowedRollout {
  plan: RolloutPlan;
  revision: number;
  readonly evidence: VersionEvidence;
  lastPhase: RolloutPhase | undefined;
  /** This host has found the new version bad, told or not. */
  isFoundBad: boolean;
  isWriting: boolean;
  /** Earliest time of the next write of the state. */
  writeAfterMs: number;
  /** When this host tells how far it is, unless another host did. */
  progressAfterMs: number;
}

/** Ends that speak of the software; others speak of load or of the network. */
const IS_FAILURE: Readonly<Partial<Record<AttemptEnd, boolean>>> = {
  answered: false,
  failed: true,
  lost: true,
  garbled: true,
};

/** Where new work goes whoever asks. */
const SIDE_BY_PHASE: Readonly<Record<RolloutPhase, RolloutSide | undefined>> = {
  sampling: undefined,
  shifting: 'new',
  succeeded: 'new',
  rolledBack: 'old',
};

/** Part of a roll-out after which the store is told again how far it is. */
const PROGRESS_SHARE = 0.2;
const MIN_PROGRESS_PERIOD_MS = 3000;
/**
 * Writers of the same state spread over this time for each host, so that most
 * learn that another one has written.
 */
const WRITE_SPREAD_MS = 100;
/** Time in which the hosts learn what one of them has written. */
const NEWS_DELAY_MS = 800;
const MAX_WRITE_SPREAD_MS = 2000;
const WRITE_RETRY_MS = 500;

/**
 * Follows the ordered roll-outs: decides which version a request reaches,
 * judges the new version, and declares how the roll-out ended.
 */
export class RolloutController implements VersionSelector {
  private readonly rollouts = new Map<string, FollowedRollout>();
  /** The version that a service ran on when it had just one. */
  private readonly settled = new Map<string, string>();
  private readonly sessions: SessionVersions;

  private bounds: RolloutBounds;

  private constructor(private readonly options: RolloutKeeperOptions) {
    this.bounds = options.bounds;
    this.sessions = SessionVersions.create(options.sessionMs);
  }

  static create(options: RolloutKeeperOptions): RolloutController {
    return new RolloutController(options);
  }

  /** Changes the bounds of roll-outs that are ordered from now on. */
  configure(bounds: RolloutBounds): void {
    this.bounds = bounds;
  }

  /** Takes in an order or its new state. */
  putOrder(order: RolloutOrder, revision: number): void {
    const {service, target} = order;
    const known = this.rollouts.get(service);
    const nowMs = performance.now();
    if (known !== undefined && known.plan.order.target === target) {
      const isTold = order.elapsedMs !== known.plan.order.elapsedMs;
      known.plan = known.plan.withOrder(order, nowMs);
      known.revision = revision;
      if (isTold) known.progressAfterMs = this.planTakeOver(order, nowMs);
      return;
    }
    this.rollouts.set(service, {
      plan: RolloutPlan.create(order, nowMs, this.bounds),
      revision,
      evidence: VersionEvidence.create(),
      lastPhase: undefined,
      isFoundBad: false,
      isWriting: false,
      writeAfterMs: nowMs,
      progressAfterMs:
        order.elapsedMs === undefined
          ? nowMs + this.spreadWrite()
          : this.planTakeOver(order, nowMs),
    });
    this.options.logger.info('rollout_ordered', {
      service,
      target,
      durationMs: order.durationMs,
      elapsedMs: order.elapsedMs,
      state: order.state,
    });
  }

  /** Forgets an order that was taken back. */
  removeOrder(service: string): void {
    this.rollouts.delete(service);
  }

  select(
    service: string,
    records: readonly ServerRecord[],
    key: VersionKey,
  ): readonly ServerRecord[] {
    if (isOneVersion(records)) {
      if (records.length > 0 && !this.rollouts.has(service)) {
        this.settled.set(service, records[0].server.softwareVersion);
      }
      return records;
    }
    const chosen = this.filterVersion(service, records, key);
    return chosen.length > 0 ? chosen : records;
  }

  recordSend(session: string, version: string): void {
    this.sessions.record(session, version, performance.now());
  }

  recordOutcome(outcome: VersionOutcome): void {
    const hasFailed = IS_FAILURE[outcome.end];
    if (hasFailed === undefined) return;
    const {version, route, service} = outcome;
    const rollout = this.rollouts.get(service);
    if (rollout === undefined) return;
    const side = findSide(rollout, version);
    // Once all work has moved, load and empty caches slow the new version.
    const isSampling = rollout.lastPhase === 'sampling';
    const slowness = isSampling ? outcome.slowness : undefined;
    const sample = {route, side, hasFailed, slowness};
    rollout.evidence.record(sample);
    if (side === 'new') this.options.onNewSample({service, version, sample});
  }

  /** Takes in what another host saw of a new version. */
  recordRemote({service, version, sample}: RemoteSample): void {
    const rollout = this.rollouts.get(service);
    if (rollout?.plan.order.target === version) rollout.evidence.record(sample);
  }

  /** Judges each roll-out and declares what has become of it. */
  tick(): void {
    const nowMs = performance.now();
    for (const rollout of this.rollouts.values()) {
      const phase = rollout.plan.phase(nowMs);
      if (phase !== rollout.lastPhase) this.logPhase(rollout, phase);
      const state = this.findDueState(rollout, phase, nowMs);
      if (state === undefined || rollout.isWriting) continue;
      if (state !== 'rolledBack' && nowMs < rollout.writeAfterMs) continue;
      void this.declare(rollout, state);
    }
  }

  private filterVersion(
    service: string,
    records: readonly ServerRecord[],
    key: VersionKey,
  ): readonly ServerRecord[] {
    const rollout = this.rollouts.get(service);
    if (rollout === undefined) {
      const settled = this.settled.get(service);
      return records.filter(({server}) => server.softwareVersion === settled);
    }
    const wanted = this.chooseSide(rollout, key);
    return records.filter(
      ({server}) => findSide(rollout, server.softwareVersion) === wanted,
    );
  }

  private chooseSide(rollout: FollowedRollout, key: VersionKey): RolloutSide {
    const {plan, evidence} = rollout;
    const nowMs = performance.now();
    const phase = plan.phase(nowMs);
    // The store may be away when a version turns out to be bad.
    if (rollout.isFoundBad && phase !== 'succeeded') return 'old';
    const fixed = SIDE_BY_PHASE[phase];
    if (fixed !== undefined) return fixed;
    const {before, session, sticky} = key;
    if (before !== undefined) {
      return evidence.isSuspect() ? 'old' : findSide(rollout, before);
    }
    const last = session && this.sessions.find(session, nowMs);
    if (last !== undefined) return findSide(rollout, last);
    return plan.isSampled(session ?? sticky) ? 'new' : 'old';
  }

  private findDueState(
    rollout: FollowedRollout,
    phase: RolloutPhase,
    nowMs: number,
  ): RolloutState | undefined {
    if (phase === 'succeeded' || phase === 'rolledBack') return undefined;
    const {plan} = rollout;
    rollout.isFoundBad ||= isFoundBad(rollout, phase);
    if (rollout.isFoundBad) return 'rolledBack';
    if (phase === 'shifting' && plan.isSuccessDue(nowMs)) return 'succeeded';
    return nowMs >= rollout.progressAfterMs ? 'running' : undefined;
  }

  /** When a host that has told the progress tells it again. */
  private planProgress({durationMs}: RolloutOrder, nowMs: number): number {
    const periodMs = PROGRESS_SHARE * durationMs;
    return nowMs + Math.max(MIN_PROGRESS_PERIOD_MS, periodMs);
  }

  /** When another host tells it, if it has heard nothing by then. */
  private planTakeOver(order: RolloutOrder, nowMs: number): number {
    const dueMs = this.planProgress(order, nowMs);
    return dueMs + NEWS_DELAY_MS + this.spreadWrite();
  }

  private spreadWrite(): number {
    const {random, countHosts} = this.options;
    const spreadMs = WRITE_SPREAD_MS * countHosts();
    return random() * Math.min(MAX_WRITE_SPREAD_MS, spreadMs);
  }

  private async declare(
    rollout: FollowedRollout,
    state: RolloutState,
  ): Promise<void> {
    const {logger, stateWriter, random} = this.options;
    const {order} = rollout.plan;
    const {service, target} = order;
    const elapsedMs = Math.round(rollout.plan.elapsedMs(performance.now()));
    rollout.isWriting = true;
    const result = await stateWriter.writeState(
      {service, target, state, elapsedMs},
      rollout.revision,
    );
    rollout.isWriting = false;
    const nowMs = performance.now();
    rollout.writeAfterMs = nowMs + WRITE_RETRY_MS * (1 + random());
    logger.info('rollout_declared', {
      service,
      target,
      state,
      result: result.status,
      elapsedMs,
      reason: rollout.evidence.findRegression(),
      looksSlow: rollout.evidence.looksSlow() || undefined,
      newAnswers: rollout.evidence.countRequests('new'),
      oldAnswers: rollout.evidence.countRequests('old'),
      newSlowness: rollout.evidence.readSlowness('new')?.toFixed(2),
      oldSlowness: rollout.evidence.readSlowness('old')?.toFixed(2),
    });
    if (result.status !== 'written') return;
    // The watch brings the same state later.
    rollout.plan = rollout.plan.withOrder({...order, state, elapsedMs}, nowMs);
    rollout.revision = result.version;
    rollout.progressAfterMs = this.planProgress(order, nowMs);
  }

  private logPhase(rollout: FollowedRollout, phase: RolloutPhase): void {
    const {service, target} = rollout.plan.order;
    rollout.lastPhase = phase;
    if (phase === 'succeeded') this.settled.set(service, target);
    this.options.logger.info('rollout_phase', {
      service,
      target,
      phase,
      newAnswers: rollout.evidence.countRequests('new'),
      oldAnswers: rollout.evidence.countRequests('old'),
    });
  }
}

/** A version that only looks slow is not trusted with all work either. */
function isFoundBad({evidence}: FollowedRollout, phase: RolloutPhase): boolean {
  if (evidence.findRegression() !== undefined) return true;
  return phase === 'shifting' && evidence.looksSlow();
}

function findSide(rollout: FollowedRollout, version: string): RolloutSide {
  return version === rollout.plan.order.target ? 'new' : 'old';
}

function isOneVersion(records: readonly ServerRecord[]): boolean {
  const first = records[0]?.server.softwareVersion;
  return records.every(({server}) => server.softwareVersion === first);
}
