import {
  SessionVersions,
  type RolloutBounds,
  type RolloutOrder,
  type RolloutPhase,
  type ServerRecord,
  type SessionUse,
} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';
import {
  createActiveRollout,
  findDueState,
  holdSession,
  isFinalState,
  resolveFinalState,
  sideOf,
  type ActiveRollout,
} from './active_rollout.js';
import {recordAnswer} from './record_answer.js';
import type {RolloutAnnouncement} from './rollout_announcement.js';
import {RolloutAnnouncer, type SendAnnouncement} from './rollout_announcer.js';
import {RolloutReporter} from './rollout_reporter.js';
import type {RolloutStateWriter} from './rollout_state_writer.js';
import {RolloutWriteTiming} from './rollout_write_timing.js';
import {haveSameVersion, selectVersion} from './select_version.js';
import type {
  SelectionLimits,
  VersionSelector,
  VersionKey,
  VersionOutcome,
  VersionSelection,
} from './version_selector.js';

/** Dependencies and limits of a rollout controller. */
export interface RolloutControllerOptions {
  readonly stateWriter: RolloutStateWriter;
  readonly logger: Logger;
  readonly bounds: RolloutBounds;
  readonly sessionMs: number;
  readonly random: () => number;
  /** Number of hosts that control the same rollouts, including this one. */
  readonly countHosts: () => number;
  /** Sends an announcement to the other hosts. */
  readonly announce: SendAnnouncement;
}

const NO_LIMITS: SelectionLimits = {mayReceive: () => true, isPart: false};

/**
 * Controls the rollouts that operators have ordered: selects the version for
 * each request, evaluates the new version, and writes the progress and the
 * outcome to the store.
 */
export class RolloutController implements VersionSelector {
  private readonly rollouts = new Map<string, ActiveRollout>();
  /** Last version of each service while all its servers ran the same one. */
  private readonly stableVersions = new Map<string, string>();
  private readonly sessions: SessionVersions;
  /** Versions whose order was withdrawn, by service. */
  private readonly withdrawnTargets = new Map<string, string>();
  private readonly timing: RolloutWriteTiming;
  private readonly announcer: RolloutAnnouncer;
  private readonly reporter: RolloutReporter;
  private bounds: RolloutBounds;

  private constructor(private readonly options: RolloutControllerOptions) {
    this.bounds = options.bounds;
    this.sessions = SessionVersions.create(options.sessionMs);
    this.timing = RolloutWriteTiming.create(options);
    this.announcer = RolloutAnnouncer.create(options);
    this.reporter = RolloutReporter.create({...options, timing: this.timing});
  }

  static create(options: RolloutControllerOptions): RolloutController {
    return new RolloutController(options);
  }

  /** Changes the limits for rollouts that are ordered from now on. */
  configure(bounds: RolloutBounds): void {
    this.bounds = bounds;
  }

  /** Adds an order, or updates the state of a known one. */
  putOrder(order: RolloutOrder, revision: number): void {
    const {service, target} = order;
    const known = this.rollouts.get(service);
    this.withdrawnTargets.delete(service);
    if (known !== undefined && known.plan.order.target === target) {
      this.updateOrder(known, order, revision);
      return;
    }
    this.addRollout(order, revision);
    this.options.logger.info('rollout_ordered', {
      service,
      target,
      durationMs: order.durationMs,
      elapsedMs: order.elapsedMs,
      state: order.state,
    });
  }

  /**
   * Takes over what another host tells about a rollout. A host that can't read
   * the store learns of the order this way, and counts its own answers too.
   *
   * @param member identifies one run of the sender.
   */
  receiveAnnouncement(member: string, announcement: RolloutAnnouncement): void {
    const {service, target, elapsedMs, step} = announcement;
    const rollout = this.rollouts.get(service) ?? this.addHeard(announcement);
    if (rollout === undefined || rollout.plan.order.target !== target) return;
    const nowMs = performance.now();
    rollout.plan = rollout.plan
      .withElapsed(elapsedMs, nowMs)
      .withStep(step, nowMs);
    rollout.evidence.merge(member, announcement.rows);
    rollout.heldSessions.merge(announcement.heldSessions);
    if (!announcement.isVersionBad || rollout.isNewVersionBad) return;
    rollout.isNewVersionBad = true;
    this.options.logger.info('rollout_found_bad', {service, target, member});
  }

  /**
   * Records that the store has returned from an older copy. A rollout that had
   * ended stays ended; its state is written again if the copy lacks it.
   */
  markRestored(): void {
    const nowMs = performance.now();
    for (const rollout of this.rollouts.values()) {
      rollout.revision = undefined;
      rollout.writeAfterMs = nowMs + this.timing.drawJitterMs();
      const state = resolveFinalState(rollout);
      if (state !== undefined) rollout.lostState = state;
    }
  }

  /** Removes an order that was withdrawn. */
  removeOrder(service: string): void {
    const target = this.rollouts.get(service)?.plan.order.target;
    if (target !== undefined) this.withdrawnTargets.set(service, target);
    this.rollouts.delete(service);
  }

  select(
    service: string,
    records: readonly ServerRecord[],
    key: VersionKey,
    limits: SelectionLimits = NO_LIMITS,
  ): VersionSelection {
    const rollout = this.rollouts.get(service);
    if (rollout === undefined && !limits.isPart)
      this.recordStable(service, records);
    const versions = {
      rollout,
      stableVersion: this.stableVersions.get(service),
    };
    return selectVersion(versions, records, key, limits.mayReceive);
  }

  recordSession(use: SessionUse): void {
    this.sessions.record(use, performance.now());
    const rollout = this.rollouts.get(use.service);
    if (rollout !== undefined) holdSession(rollout, use);
  }

  recordOutcome(outcome: VersionOutcome): void {
    const rollout = this.rollouts.get(outcome.service);
    if (rollout !== undefined) recordAnswer(rollout, outcome);
  }

  isUnproven(service: string, version: string): boolean {
    const rollout = this.rollouts.get(service);
    if (rollout === undefined || sideOf(rollout, version) === 'old')
      return false;
    return rollout.plan.phase !== 'succeeded';
  }

  /** Evaluates each rollout and writes its state to the store if it is due. */
  tick(): void {
    const nowMs = performance.now();
    for (const rollout of this.rollouts.values()) {
      this.advance(rollout, nowMs);
      const {phase} = rollout.plan;
      if (phase !== rollout.lastPhase) this.logPhase(rollout, phase);
      const state = findDueState(rollout, phase, nowMs);
      this.announcer.announceIfDue(rollout, nowMs);
      if (state === undefined || rollout.isWriting) continue;
      // A rollback must not wait, unless the store does not answer.
      const isUrgent =
        state === 'rolledBack' &&
        rollout.lostState === undefined &&
        !rollout.isStoreSilent;
      if (!isUrgent && nowMs < rollout.writeAfterMs) continue;
      if (rollout.revision === undefined) continue;
      void this.reporter.report(rollout, state, rollout.revision);
    }
  }

  private recordStable(
    service: string,
    records: readonly ServerRecord[],
  ): void {
    if (records.length === 0 || !haveSameVersion(records)) return;
    this.stableVersions.set(service, records[0].server.softwareVersion);
  }

  private addHeard({
    service,
    target,
    durationMs,
    elapsedMs,
    step,
  }: RolloutAnnouncement): ActiveRollout | undefined {
    if (this.withdrawnTargets.get(service) === target) return undefined;
    const state = undefined;
    this.options.logger.info('rollout_heard', {service, target, elapsedMs});
    const order = {service, target, durationMs, elapsedMs, state, step};
    return this.addRollout(order, undefined);
  }

  private addRollout(
    order: RolloutOrder,
    revision: number | undefined,
  ): ActiveRollout {
    const nowMs = performance.now();
    const rollout = createActiveRollout({
      order,
      revision,
      nowMs,
      bounds: this.bounds,
      progressAfterMs:
        order.elapsedMs === undefined
          ? nowMs + this.timing.drawJitterMs()
          : this.timing.computeTakeoverMs(order, nowMs),
    });
    this.rollouts.set(order.service, rollout);
    for (const use of this.sessions.list(order.service, nowMs))
      holdSession(rollout, use);
    return rollout;
  }

  private advance(rollout: ActiveRollout, nowMs: number): void {
    const {plan, evidence} = rollout;
    rollout.plan = plan.advance(nowMs, evidence.assess());
    if (rollout.plan.step === plan.step) return;
    // The other hosts and a restarted one continue from the step in the store.
    rollout.progressAfterMs = Math.min(
      rollout.progressAfterMs,
      nowMs + this.timing.drawJitterMs(),
    );
  }

  private updateOrder(
    rollout: ActiveRollout,
    order: RolloutOrder,
    revision: number,
  ): void {
    const nowMs = performance.now();
    const hasNewProgress = order.elapsedMs !== rollout.plan.order.elapsedMs;
    if (isFinalState(order.state)) rollout.lostState = undefined;
    const state = rollout.lostState ?? order.state;
    rollout.plan = rollout.plan.withOrder({...order, state}, nowMs);
    rollout.revision = revision;
    if (hasNewProgress)
      rollout.progressAfterMs = this.timing.computeTakeoverMs(order, nowMs);
  }

  private logPhase(rollout: ActiveRollout, phase: RolloutPhase): void {
    const {service, target} = rollout.plan.order;
    rollout.lastPhase = phase;
    if (phase === 'shifting')
      rollout.answersBeforeShift = rollout.evidence.countRequests('new');
    if (phase === 'succeeded') this.stableVersions.set(service, target);
    this.options.logger.info('rollout_phase', {
      service,
      target,
      phase,
      newAnswers: rollout.evidence.countRequests('new'),
      oldAnswers: rollout.evidence.countRequests('old'),
    });
  }
}
