import {
  ModelChooser,
  RetryBudget,
  formatMember,
  type Ruling,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import {RatingClient} from '@anvilrudder/clients';
import type {SharedFacts} from '@anvilrudder/peers';
import type {BackendDirectory} from '../backends/backend_directory.js';
import type {Settings} from '../config/settings_schema.js';
import {
  startShareExchange,
  type FactsQuery,
  type ShareExchange,
} from '../control/sharing/share_exchange.js';
import type {ControlPlane} from '../control/start_control_plane.js';
import {EnginePool} from './engine_pool.js';
import {OrganisationLimits} from './organisation_limits.js';
import {PoolAdmission} from './pool_admission.js';
import {
  startRatingLoop,
  type RatingLoop,
  type RatingService,
} from './rating_loop.js';
import {RolloutWatch} from './rollout_watch.js';
import {readRulings, writeRuling} from './ruling_store.js';
import {createVersionRulingService} from './version_ruling_service.js';

const RULING_RETRY_MS = 1000;
const RETRY_BUDGET = {minPerS: 2, maxSaved: 40, initialSaved: 40};

/** Options of {@link startDecisions}. */
export interface StartDecisionsOptions {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly control: ControlPlane;
  readonly backends: BackendDirectory;
}

/** Everything that decides where a request goes and whether it may. */
export interface Decisions {
  readonly chooser: ModelChooser;
  readonly engines: EnginePool;
  readonly admission: PoolAdmission;
  readonly limits: OrganisationLimits;
  readonly retryBudget: RetryBudget;
  readonly rollouts: RolloutWatch;
  /** Undefined without a rating service. */
  readonly ratings: RatingLoop | undefined;
  stop(): Promise<void>;
}

/**
 * Starts the decisions of an entry and their exchange with other entries.
 *
 * @example
 * ```ts
 * const decisions = await startDecisions(options);
 * ```
 */
export async function startDecisions(
  options: StartDecisionsOptions,
): Promise<Decisions> {
  const {settings, logger, metrics, control, backends} = options;
  const {directory, keeper, member, store, transports} = control;
  const random = Math.random;
  const countMembers = (): number => directory.listLivePeers().length + 1;
  const engines = EnginePool.create({
    directory: backends,
    failureDomain: settings.failureDomain,
    policy: settings.decisions.backendPolicy,
    random,
  });
  const limits = OrganisationLimits.create({
    member: formatMember(member),
    policy: settings.decisions.limitPolicy,
    random,
  });
  const rollouts = RolloutWatch.create({
    member,
    rampsOnEvidence: settings.platform.ratingsUrl !== undefined,
    onStop: ruling => void publishRuling(ruling),
  });
  const sharing: ShareExchange = startShareExchange({
    directory,
    transports,
    logger,
    random,
    collect,
    merge,
    onPeriod() {
      limits.beat(countMembers());
      const inForce = keeper.inForce();
      if (inForce !== undefined) rollouts.tick(inForce.rules);
    },
  });
  control.mount(sharing.routes);
  const chooser = ModelChooser.create({
    policy: settings.decisions.modelPolicy,
    weights: settings.decisions.weights,
  });
  control.setVersionRulingService(
    createVersionRulingService({
      rollouts,
      readRules: () => keeper.inForce()?.rules,
      publish: ruling => publishRuling(ruling),
    }),
  );
  const ratings = startRatings();
  await adoptRulings();

  function collect({afterRevision, scope}: FactsQuery): SharedFacts {
    return {
      evidence: rollouts.evidence.createDelta(afterRevision, scope),
      rulings: rollouts.rulings.list(),
      limitUse: limits.use,
      leavingServers: backends.listDrainingServers(),
      rolloutSteps: rollouts.listSteps(),
    };
  }

  function merge(facts: SharedFacts): void {
    rollouts.evidence.merge(facts.evidence);
    for (const ruling of facts.rulings) {
      if (rollouts.mergeRuling(ruling)) logRuling(ruling, 'peer');
    }
    rollouts.mergeSteps(facts.rolloutSteps);
    limits.merge(facts.limitUse);
    for (const id of facts.leavingServers) engines.markLeaving(id, 'peer');
  }

  function startRatings(): RatingLoop | undefined {
    const {ratingsUrl, ratingsPerS} = settings.platform;
    if (ratingsUrl === undefined) return undefined;
    return startRatingLoop({
      service: createRatingService(ratingsUrl),
      budgetPerS: () => ratingsPerS / countMembers(),
      random,
      logger,
      metrics,
      onRating: rating => chooser.observeRating(rating),
      onOwnRating: ({model, version, score}) =>
        rollouts.record({model, version}, {score}),
    });
  }

  async function adoptRulings(): Promise<void> {
    try {
      for (const ruling of await readRulings(store)) {
        rollouts.mergeRuling(ruling);
      }
    } catch (error) {
      logger.warn('rulings_not_read', {reason: String(error)});
    }
  }

  async function publishRuling(ruling: Ruling): Promise<void> {
    logRuling(ruling, 'here');
    await sharing.broadcast();
    recordRuling(control, settings.host, ruling);
    try {
      await writeRuling(store, ruling);
    } catch (error) {
      logger.warn('ruling_not_written', {reason: String(error)});
      setTimeout(() => void publishRuling(ruling), RULING_RETRY_MS).unref();
    }
  }

  function logRuling(ruling: Ruling, source: string): void {
    const {model, version, state, decidedBy, reason, term} = ruling;
    logger.warn('version_ruled', {
      version: `${model}@${version}`,
      state,
      decidedBy,
      reason,
      term,
      source,
    });
  }

  return {
    chooser,
    engines,
    limits,
    rollouts,
    ratings,
    admission: PoolAdmission.create({
      random,
      policy: settings.decisions.admissionPolicy,
      maxQueueSize: settings.requests.maxQueued,
      resolveOwnSlots: version => engines.countSlots(version) / countMembers(),
    }),
    retryBudget: RetryBudget.create(RETRY_BUDGET),
    async stop() {
      ratings?.stop();
      sharing.stop();
    },
  };
}

function createRatingService(ratingsUrl: string): RatingService {
  const client = RatingClient.create();
  const address = new URL(ratingsUrl).host;
  return {
    rate: request => client.rate(address, request),
    list: after => client.list(address, after),
  };
}

function recordRuling(
  control: ControlPlane,
  host: string,
  ruling: Ruling,
): void {
  const {model, version, term, state, decidedBy, reason} = ruling;
  const {revision} = control.keeper.status();
  control.audit
    .append({
      id: `ruling/${model}@${version}/${term}/${state}`,
      timeMs: Date.now(),
      host,
      action: state === 'stopped' ? 'version.stop' : 'version.allow',
      who: decidedBy,
      why: reason,
      beforeRevision: revision,
      afterRevision: revision,
      outcome: `${model}@${version} ${state}`,
    })
    .catch(() => undefined);
}
