import {
  formatModelVersion,
  isSameModelVersion,
  type ModelVersion,
} from '../types/identity.js';
import {hashToUnitInterval} from '../utils/hash.js';
import {clamp} from '../utils/math.js';
import type {
  DecisionWeights,
  ModelOption,
  EstimatedPlan,
  RoutePlan,
} from './model_option.js';
import {MODEL_POLICIES, type ModelPolicyName} from './model_policies.js';
import {createPlanTable} from './plan_table.js';
import {
  LearntQuality,
  type LearntQualityOptions,
  type OutcomeObservation,
  type QualityModel,
  type RatingObservation,
} from './quality_model.js';
import {selectByShare} from './rollout_share.js';

/** Options of {@link ModelChooser}. */
export interface ModelChooserOptions {
  /** `learnt-mix`. */
  readonly policy?: ModelPolicyName;
  /** Equal weights. */
  readonly weights?: DecisionWeights;
  /** Share of `fixed-split` for the best model; 0.5. */
  readonly fixedShare?: number;
  /** Check threshold of `fixed-threshold`; 0.5. */
  readonly fixedThreshold?: number;
  /** Part of requests that may try a cheaper, little-rated version; 0.02. */
  readonly explorationShare?: number;
  /** Standard errors taken off a quality at full weight of exposure; 1. */
  readonly maxCaution?: number;
  /** How ratings are learnt from. */
  readonly learning?: LearntQualityOptions;
  /** Replaces what is learnt from ratings. */
  readonly quality?: QualityModel;
}

const DEFAULTS = {
  policy: 'learnt-mix',
  weights: {cost: 1, exposure: 1},
  fixedShare: 0.5,
  fixedThreshold: 0.5,
  explorationShare: 0.02,
  maxCaution: 1,
  learning: {},
} as const satisfies ModelChooserOptions;

const MAX_SURPLUS_REQUESTS = 3;
const EXPLORED_RATING_COUNT = 20;
const SEED_EXPLORE = 1;
const SEED_EXPLORED_OPTION = 2;
const SEED_SPLIT = 3;

/** A request that needs a model version. */
export interface ChooseRequest {
  readonly organisation: string;
  readonly kind: string;
  /** Session or request id; decides roll-out shares in a stable way. */
  readonly key: string;
  readonly qualityTarget: number;
  /** What the rules allow; reuse the array while the rules do not change. */
  readonly options: readonly ModelOption[];
  /** Models of the kind's cascade, cheapest first. */
  readonly cascadeModels?: readonly string[];
  /** Versions that are stopped or have no backend server in service. */
  readonly excluded?: readonly ModelVersion[];
}

interface CachedTable {
  readonly revision: number;
  readonly plans: readonly EstimatedPlan[];
}

/** Chooses model versions; holds what was learnt, and no request. */
export class ModelChooser {
  private readonly surplusByLedger = new Map<string, number>();
  private tables = new WeakMap<
    readonly ModelOption[],
    Map<string, CachedTable>
  >();

  private constructor(
    private readonly options: Required<ModelChooserOptions>,
    private readonly learnt: LearntQuality | undefined,
    private readonly caution: number,
    private readonly explorationShare: number,
  ) {}

  /**
   * Creates a chooser.
   *
   * @example
   * ```ts
   * const chooser = ModelChooser.create({weights: {cost: 3, exposure: 1}});
   * ```
   */
  static create(options: ModelChooserOptions = {}): ModelChooser {
    const learnt = options.quality
      ? undefined
      : LearntQuality.create(options.learning);
    const quality = options.quality ?? (learnt as QualityModel);
    const resolved = {...DEFAULTS, ...options, quality};
    const {cost, exposure} = resolved.weights;
    const exposureWeight = exposure / (cost + exposure);
    return new ModelChooser(
      resolved,
      learnt,
      resolved.maxCaution * exposureWeight,
      resolved.explorationShare * (1 - exposureWeight),
    );
  }

  /**
   * Picks the versions to run. Each step is one of the request's options.
   *
   * @returns undefined when no option is left.
   * @example
   * ```ts
   * const plan = chooser.choose(request);
   * plan?.steps[0].version; // 'v3'
   * ```
   */
  choose(request: ChooseRequest): RoutePlan | undefined {
    const options = this.listCandidates(request);
    if (options.length === 0) return undefined;
    const policy = this.options.policy;
    if (options.length === 1) return {steps: options, checkThresholds: []};
    if (policy === 'learnt-mix') {
      const explored = this.findExplored(request, options);
      if (explored) return {steps: [explored], checkThresholds: []};
    }
    const ledger = `${request.organisation}/${request.kind}`;
    const surplus = this.surplusByLedger.get(ledger) ?? 0;
    const plan = MODEL_POLICIES[policy]({
      options,
      cascadeModels: request.cascadeModels ?? [],
      qualityTarget: request.qualityTarget,
      unit: hashToUnitInterval(request.key, SEED_SPLIT),
      surplus,
      fixedShare: this.options.fixedShare,
      fixedThreshold: this.options.fixedThreshold,
      planTable: () => this.resolvePlanTable(request, options),
    });
    this.settle(ledger, surplus, plan, request.qualityTarget);
    return plan;
  }

  /** Takes in a rating, late and in any order. */
  observeRating(rating: RatingObservation): void {
    this.learnt?.observeRating(rating);
  }

  /** Takes in the end of an answer. */
  observeOutcome(outcome: OutcomeObservation): void {
    this.learnt?.observeOutcome(outcome);
  }

  // Excluded versions go first, so that a key whose roll-out version is out
  // gets another version of the same model.
  private listCandidates(request: ChooseRequest): readonly ModelOption[] {
    const {options, excluded = [], key} = request;
    if (excluded.length === 0) return selectByShare(options, key);
    const left = options.filter(
      option => !excluded.some(version => isSameModelVersion(version, option)),
    );
    return selectByShare(left, key);
  }

  private findExplored(
    request: ChooseRequest,
    options: readonly ModelOption[],
  ): ModelOption | undefined {
    const {kind, key} = request;
    if (hashToUnitInterval(key, SEED_EXPLORE) >= this.explorationShare)
      return undefined;
    const dearest = Math.max(...options.map(option => option.costPerMtok));
    const unrated = options.filter(
      option =>
        option.costPerMtok < dearest &&
        this.options.quality.estimate(kind, option).ratingCount <
          EXPLORED_RATING_COUNT,
    );
    const unit = hashToUnitInterval(key, SEED_EXPLORED_OPTION);
    return unrated[Math.floor(unit * unrated.length)];
  }

  private resolvePlanTable(
    request: ChooseRequest,
    options: readonly ModelOption[],
  ): readonly EstimatedPlan[] {
    const {quality} = this.options;
    const byKey = this.tables.get(request.options) ?? new Map();
    this.tables.set(request.options, byKey);
    const versions =
      options === request.options
        ? '*'
        : options.map(formatModelVersion).join();
    const cacheKey = `${request.kind}/${versions}`;
    const cached: CachedTable | undefined = byKey.get(cacheKey);
    if (cached?.revision === quality.revision) return cached.plans;
    const plans = createPlanTable({
      kind: request.kind,
      options,
      cascadeModels: request.cascadeModels ?? [],
      quality,
      caution: this.caution,
    });
    byKey.set(cacheKey, {revision: quality.revision, plans});
    return plans;
  }

  private settle(
    ledger: string,
    surplus: number,
    plan: RoutePlan | EstimatedPlan,
    qualityTarget: number,
  ): void {
    if (!('cautiousQuality' in plan)) return;
    const next = surplus + plan.cautiousQuality - qualityTarget;
    this.surplusByLedger.set(
      ledger,
      clamp(next, -MAX_SURPLUS_REQUESTS, MAX_SURPLUS_REQUESTS),
    );
  }
}
