import {
  RolloutPlan,
  SessionVersions,
  VersionEvidence,
  type AttemptEnd,
  type RolloutBounds,
  type RolloutOrder,
  type RolloutPhase,
  type RolloutState,
  type ServerRecord,
  type ServerTable,
} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';
import type {RolloutBoard} from './rollout_board.js';
import type {VersionGate, VersionKey, VersionOutcome} from './version_gate.js';

/** What a keeper works with. */
export interface RolloutKeeperOptions {
  readonly servers: ServerTable;
  readonly board: RolloutBoard;
  readonly logger: Logger;
  readonly bounds: RolloutBounds;
  readonly sessionMs: number;
  readonly random: () => number;
}

interface FollowedRollout {
  plan: RolloutPlan;
  revision: number;
  readonly evidence: VersionEvidence;
  readonly baseline: string;
  lastPhase: RolloutPhase | undefined;
  isWriting: boolean;
  /** Earliest time of the next write of the state. */
  writeAfterMs: number;
}

/** Ends that speak of the software; others speak of load or of the network. */
const IS_FAILURE: Readonly<Partial<Record<AttemptEnd, boolean>>> = {
  answered: false,
  failed: true,
  lost: true,
  garbled: true,
};

/** Writers of the same state spread over this time, so that one suffices. */
const WRITE_SPREAD_MS = 400;
const WRITE_RETRY_MS = 500;

/**
 * Follows the ordered roll-outs: decides which version a request reaches,
 * judges the new version, and declares how the roll-out ended.
 */
export class RolloutKeeper implements VersionGate {
  private readonly rollouts = new Map<string, FollowedRollout>();
  /** The version that a service ran on when it had just one. */
  private readonly settled = new Map<string, string>();
  private readonly sessions: SessionVersions;

  private constructor(private readonly options: RolloutKeeperOptions) {
    this.sessions = SessionVersions.create(options.sessionMs);
  }

  static create(options: RolloutKeeperOptions): RolloutKeeper {
    return new RolloutKeeper(options);
  }

  /** Takes in an order or its new state. */
  putOrder(order: RolloutOrder, revision: number): void {
    const {service, target} = order;
    const known = this.rollouts.get(service);
    const nowMs = performance.now();
    if (known !== undefined && known.plan.order.target === target) {
      known.plan = known.plan.withOrder(order);
      known.revision = revision;
      return;
    }
    const baseline = this.findBaseline(service, target);
    this.rollouts.set(service, {
      plan: RolloutPlan.create(order, nowMs, this.options.bounds),
      revision,
      evidence: VersionEvidence.create(baseline),
      baseline,
      lastPhase: undefined,
      isWriting: false,
      writeAfterMs: nowMs + this.options.random() * WRITE_SPREAD_MS,
    });
    this.options.logger.info('rollout_ordered', {
      service,
      target,
      baseline,
      durationMs: order.durationMs,
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
    const rollout = this.rollouts.get(service);
    const wanted =
      rollout === undefined
        ? this.settled.get(service)
        : this.chooseVersion(rollout, key);
    const chosen = records.filter(
      ({server}) => server.softwareVersion === wanted,
    );
    return chosen.length > 0 ? chosen : records;
  }

  recordSend(session: string, version: string): void {
    this.sessions.record(session, version, performance.now());
  }

  recordOutcome(outcome: VersionOutcome): void {
    const hasFailed = IS_FAILURE[outcome.end];
    if (hasFailed === undefined) return;
    const {version, route, paceMs} = outcome;
    const rollout = this.rollouts.get(outcome.service);
    rollout?.evidence.record({route, version, hasFailed, paceMs});
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

  private chooseVersion(rollout: FollowedRollout, key: VersionKey): string {
    const {plan, baseline, evidence} = rollout;
    const {target} = plan.order;
    const nowMs = performance.now();
    const phase = plan.phase(nowMs);
    if (phase === 'rolledBack') return baseline;
    if (phase !== 'sampling') return target;
    if (evidence.isSuspect(target) && key.before !== undefined) return baseline;
    if (key.before !== undefined) return key.before;
    const {session} = key;
    const last = session && this.sessions.find(session, nowMs);
    if (last !== undefined) return last;
    return plan.isSampled(session ?? key.sticky) ? target : baseline;
  }

  private findDueState(
    rollout: FollowedRollout,
    phase: RolloutPhase,
    nowMs: number,
  ): RolloutState | undefined {
    if (phase === 'succeeded' || phase === 'rolledBack') return undefined;
    const {plan, evidence} = rollout;
    const {target, state} = plan.order;
    const reason = evidence.findBadReason(target);
    if (reason !== undefined) return 'rolledBack';
    if (phase === 'shifting' && plan.isSuccessDue(nowMs)) return 'succeeded';
    return state === undefined ? 'running' : undefined;
  }

  private async declare(
    rollout: FollowedRollout,
    state: RolloutState,
  ): Promise<void> {
    const {logger, board, random} = this.options;
    const {service, target} = rollout.plan.order;
    rollout.isWriting = true;
    const result = await board.writeState(
      {service, target, state},
      rollout.revision,
    );
    rollout.isWriting = false;
    rollout.writeAfterMs = performance.now() + WRITE_RETRY_MS * (1 + random());
    logger.info('rollout_declared', {
      service,
      target,
      state,
      result: result.status,
      reason: rollout.evidence.findBadReason(target),
      answers: rollout.evidence.countRequests(target),
      baselineAnswers: rollout.evidence.countRequests(rollout.baseline),
    });
    if (result.status !== 'written') return;
    // The watch brings the same state later.
    rollout.plan = rollout.plan.withOrder({...rollout.plan.order, state});
    rollout.revision = result.version;
  }

  private findBaseline(service: string, target: string): string {
    const settled = this.settled.get(service);
    if (settled !== undefined && settled !== target) return settled;
    const other = this.options.servers
      .list(service)
      .find(({server}) => server.softwareVersion !== target);
    return other?.server.softwareVersion ?? target;
  }

  private logPhase(rollout: FollowedRollout, phase: RolloutPhase): void {
    const {service, target} = rollout.plan.order;
    rollout.lastPhase = phase;
    if (phase === 'succeeded') this.settled.set(service, target);
    this.options.logger.info('rollout_phase', {
      service,
      target,
      phase,
      answers: rollout.evidence.countRequests(target),
      baselineAnswers: rollout.evidence.countRequests(rollout.baseline),
    });
  }
}

function isOneVersion(records: readonly ServerRecord[]): boolean {
  const first = records[0]?.server.softwareVersion;
  return records.every(({server}) => server.softwareVersion === first);
}
