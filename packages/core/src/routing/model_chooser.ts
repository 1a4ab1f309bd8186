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
  LearntQualityModel,
  type LearntQualityModelOptions,
  type OutcomeObservation,
  type QualityModel,
  type RatingObservation,
} from './quality_model.js';
import {selectByShare} from './rollout_share.js';

/** Options of {@link ModelChooser}. */
export interface ModelChooserOptions {
  /** Default: `learnt-mix`. */
  readonly policy?: ModelPolicyName;
  /** Default: equal weights. */
  readonly weights?: DecisionWeights;
  /** `fixed-split`: share of requests for the best model. Default: 0.5. */
  readonly fixedShare?: number;
  /** `fixed-threshold`: lowest check score of a final answer. Default: 0.5. */
  readonly fixedThreshold?: number;
  /**
   * Fraction of requests that may explore a cheaper version with few ratings;
   * it decreases to 0 as the weight of exposure grows. Default: 0.02.
   */
  readonly explorationShare?: number;
  /**
   * Number of standard errors subtracted from an estimated quality if only
   * exposure has weight. Default: 1.
   */
  readonly maxCaution?: number;
  /** Options for estimating quality from ratings. */
  readonly learning?: LearntQualityModelOptions;
  /** Quality model to use instead of learning from ratings. */
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

/** Largest surplus or deficit, in requests; see `PolicyContext.surplus`. */
const MAX_SURPLUS = 3;
/** Number of ratings from which on a version is no longer explored. */
const EXPLORED_RATING_COUNT = 20;
const SEED_EXPLORE = 1;
const SEED_EXPLORED_OPTION = 2;
const SEED_SPLIT = 3;

/** A request that needs a model version. */
export interface ChooseRequest {
  readonly organisation: string;
  readonly kind: string;
  /** Session or request id; its hash decides rollout shares and exploration. */
  readonly key: string;
  readonly qualityTarget: number;
  /**
   * Options that the rules allow. Pass the same array as long as the rules do
   * not change, since plan tables are cached by its identity.
   */
  readonly options: readonly ModelOption[];
  /** Models of the cascade for this kind of request, cheapest first. */
  readonly cascadeModels?: readonly string[];
  /** Versions that are stopped or have no available backend server. */
  readonly excluded?: readonly ModelVersion[];
}

interface CachedTable {
  readonly revision: number;
  readonly plans: readonly EstimatedPlan[];
}

/**
 * Chooses the model versions that answer a request. Keeps quality estimates and
 * the surplus of each organisation and kind, but no state of single requests.
 */
export class ModelChooser {
  private readonly surplusByGroup = new Map<string, number>();
  private tables = new WeakMap<
    readonly ModelOption[],
    Map<string, CachedTable>
  >();

  private constructor(
    private readonly options: Required<ModelChooserOptions>,
    private readonly learnt: LearntQualityModel | undefined,
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
      : LearntQualityModel.create(options.learning);
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
   * Chooses the versions to run. Each step is one of the request's options.
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
      const optionToExplore = this.pickOptionToExplore(request, options);
      if (optionToExplore)
        return {steps: [optionToExplore], checkThresholds: []};
    }
    const group = `${request.organisation}/${request.kind}`;
    const surplus = this.surplusByGroup.get(group) ?? 0;
    const plan = MODEL_POLICIES[policy]({
      options,
      cascadeModels: request.cascadeModels ?? [],
      qualityTarget: request.qualityTarget,
      unitHash: hashToUnitInterval(request.key, SEED_SPLIT),
      surplus,
      fixedShare: this.options.fixedShare,
      fixedThreshold: this.options.fixedThreshold,
      planTable: () => this.resolvePlanTable(request, options),
    });
    this.updateSurplus(group, surplus, plan, request.qualityTarget);
    return plan;
  }

  /** Records a rating. Ratings may arrive late and in any order. */
  observeRating(rating: RatingObservation): void {
    this.learnt?.observeRating(rating);
  }

  /** Records that an answer has ended. */
  observeOutcome(outcome: OutcomeObservation): void {
    this.learnt?.observeOutcome(outcome);
  }

  // Excluded versions are removed before shares are applied, so that a key
  // whose version in rollout is excluded gets another version of the same
  // model.
  private listCandidates(request: ChooseRequest): readonly ModelOption[] {
    const {options, excluded = [], key} = request;
    if (excluded.length === 0) return selectByShare(options, key);
    const left = options.filter(
      option => !excluded.some(version => isSameModelVersion(version, option)),
    );
    return selectByShare(left, key);
  }

  private pickOptionToExplore(
    request: ChooseRequest,
    options: readonly ModelOption[],
  ): ModelOption | undefined {
    const {kind, key} = request;
    if (hashToUnitInterval(key, SEED_EXPLORE) >= this.explorationShare)
      return undefined;
    const highestCost = Math.max(...options.map(option => option.costPerMtok));
    const unrated = options.filter(
      option =>
        option.costPerMtok < highestCost &&
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

  private updateSurplus(
    group: string,
    surplus: number,
    plan: RoutePlan | EstimatedPlan,
    qualityTarget: number,
  ): void {
    if (!('qualityLowerBound' in plan)) return;
    const next = surplus + plan.qualityLowerBound - qualityTarget;
    this.surplusByGroup.set(group, clamp(next, -MAX_SURPLUS, MAX_SURPLUS));
  }
}
