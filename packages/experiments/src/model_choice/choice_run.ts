import {
  ModelChooser,
  clamp,
  createRandom,
  sampleExponential,
  sampleNormal,
  type CheckedAnswer,
  type ModelChooserOptions,
  type ModelOption,
  type Random,
  type RatingObservation,
  type RoutePlan,
} from '@anvilrudder/core';
import {
  sampleAnswer,
  sampleDifficulty,
  type TrueQuality,
} from './answer_model.js';
import type {Deployment, KindProfile, VersionProfile} from './deployments.js';

/** Ratings, drift and outages during a simulation. */
export interface Scenario {
  readonly name: string;
  readonly ratingShare: number;
  readonly ratingDelayMeanMs: number;
  /** Share of the ratings that are lost. */
  readonly ratingLossShare: number;
  /** Standard deviation of the error of the quality stated in the rules. */
  readonly priorError: number;
  /** Change of the cheapest version's skill halfway through the requests. */
  readonly driftSkill: number;
  /** Share of the time when the most expensive model has no backend server. */
  readonly outageShare: number;
}

/** Totals of the requests of one kind in one half of the simulation. */
export interface Segment {
  readonly kind: KindProfile;
  readonly phase: number;
  requestCount: number;
  costSum: number;
  qualitySum: number;
}

export const REQUEST_COUNT = 40_000;
const REQUEST_INTERVAL_MS = 50;
const OUTAGE_PERIOD_REQUESTS = 2000;
const OPTION_SEED_FACTOR = 7919;
const RATING_NOISE = 0.08;

interface PendingRating {
  readonly dueMs: number;
  readonly rating: RatingObservation;
}

/**
 * Returns the versions of a phase. In phase 1, the second half of the requests,
 * the skill of the cheapest version has drifted.
 */
export function listVersions(
  deployment: Deployment,
  scenario: Scenario,
  phase: number,
): readonly VersionProfile[] {
  return deployment.versions.map((version, index) => ({
    ...version,
    skill:
      version.skill + (phase === 1 && index === 0 ? scenario.driftSkill : 0),
  }));
}

function createOptionsByKind(
  deployment: Deployment,
  scenario: Scenario,
  trueQuality: TrueQuality,
  seed: number,
): ReadonlyMap<string, readonly ModelOption[]> {
  const random = createRandom(seed * OPTION_SEED_FACTOR);
  const entries = deployment.kinds.map(({kind}) => {
    const options = deployment.versions.map((version, index) => {
      const {mean} = trueQuality.estimate(kind, version);
      const error = scenario.priorError * sampleNormal(random);
      const quality = clamp(mean + error, 0.05, 0.98);
      return {...version, quality, share: 1, sourceLine: index + 1};
    });
    return [kind, options] as const;
  });
  return new Map(entries);
}

/** Inputs of a simulation. */
export interface ChoiceInputs {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly chooserOptions: ModelChooserOptions;
  readonly seed: number;
  /** True quality before and after the drift. */
  readonly trueQualities: readonly TrueQuality[];
  /** Whether the chooser is the oracle, which knows the true distributions. */
  readonly isOracle: boolean;
}

/** Simulates a stream of requests and ratings with one model chooser. */
class ChoiceRun {
  private readonly random: Random;
  private readonly optionsByKind: ReadonlyMap<string, readonly ModelOption[]>;
  private readonly versionsByPhase: readonly (readonly VersionProfile[])[];
  private readonly cascadeModels: readonly string[];
  private readonly segments: readonly Segment[];
  private chooser: ModelChooser;
  private pendingRatings: PendingRating[] = [];

  private constructor(private readonly inputs: ChoiceInputs) {
    const {deployment, scenario, trueQualities, seed} = inputs;
    this.random = createRandom(seed);
    this.optionsByKind = createOptionsByKind(
      deployment,
      scenario,
      trueQualities[0],
      seed,
    );
    this.versionsByPhase = [0, 1].map(phase =>
      listVersions(deployment, scenario, phase),
    );
    this.cascadeModels = deployment.versions.map(({model}) => model);
    this.segments = [0, 1].flatMap(phase =>
      deployment.kinds.map(kind => createSegment(kind, phase)),
    );
    this.chooser = this.createChooser(0);
  }

  static create(inputs: ChoiceInputs): ChoiceRun {
    return new ChoiceRun(inputs);
  }

  run(): readonly Segment[] {
    for (let index = 0; index < REQUEST_COUNT; index++) {
      const isHalfway = index === REQUEST_COUNT / 2;
      if (isHalfway && this.inputs.isOracle)
        this.chooser = this.createChooser(1);
      if (index % 20 === 0) this.deliverRatings(index * REQUEST_INTERVAL_MS);
      this.serve(index);
    }
    return this.segments;
  }

  private createChooser(phase: number): ModelChooser {
    const {chooserOptions, trueQualities, isOracle} = this.inputs;
    const quality = isOracle ? trueQualities[phase] : undefined;
    return ModelChooser.create({...chooserOptions, quality});
  }

  private deliverRatings(nowMs: number): void {
    const due = this.pendingRatings.filter(({dueMs}) => dueMs <= nowMs);
    this.pendingRatings = this.pendingRatings.filter(
      ({dueMs}) => dueMs > nowMs,
    );
    for (const {rating} of due) this.chooser.observeRating(rating);
  }

  private serve(index: number): void {
    const {deployment, scenario, seed} = this.inputs;
    const {kinds, organisations} = deployment;
    const phase = index < REQUEST_COUNT / 2 ? 0 : 1;
    const kindIndex = pickKindIndex(kinds, this.random());
    const kind = kinds[kindIndex];
    const organisation =
      organisations[Math.floor(this.random() * organisations.length)];
    const difficulty = sampleDifficulty(kind, this.random);
    const isOutage =
      (index % OUTAGE_PERIOD_REQUESTS) / OUTAGE_PERIOD_REQUESTS <
      scenario.outageShare;
    const plan = this.chooser.choose({
      organisation,
      kind: kind.kind,
      key: `r-${seed}-${index}`,
      qualityTarget: kind.qualityTarget,
      options: this.optionsByKind.get(kind.kind) ?? [],
      cascadeModels: this.cascadeModels,
      excluded: isOutage ? deployment.versions.slice(-1) : [],
    });
    const segment = this.segments[phase * kinds.length + kindIndex];
    segment.requestCount += 1;
    if (plan === undefined) return;
    this.answer(plan, segment, difficulty, index * REQUEST_INTERVAL_MS);
  }

  private answer(
    plan: RoutePlan,
    segment: Segment,
    difficulty: number,
    nowMs: number,
  ): void {
    const {kind} = segment.kind;
    let previous: CheckedAnswer | undefined;
    for (const [index, step] of plan.steps.entries()) {
      const version = this.versionsByPhase[segment.phase].find(
        ({model}) => model === step.model,
      );
      const skill = version?.skill ?? 0;
      const answer = sampleAnswer(skill, difficulty, this.random);
      const {checkScore} = answer;
      const observed = {kind, ...step, checkScore};
      this.chooser.observeOutcome({...observed, isEscalated: index > 0});
      segment.costSum += step.costPerMtok;
      this.scheduleRating(answer.quality, {...observed, previous}, nowMs);
      previous = {...step, checkScore};
      const threshold = plan.checkThresholds[index];
      if (threshold !== undefined && checkScore < threshold) continue;
      segment.qualitySum += answer.quality;
      break;
    }
  }

  private scheduleRating(
    quality: number,
    rating: Omit<RatingObservation, 'score'>,
    nowMs: number,
  ): void {
    const {ratingShare, ratingLossShare, ratingDelayMeanMs} =
      this.inputs.scenario;
    if (this.random() >= ratingShare) return;
    if (this.random() < ratingLossShare) return;
    const score = quality + RATING_NOISE * sampleNormal(this.random);
    const dueMs = nowMs + sampleExponential(this.random, ratingDelayMeanMs);
    this.pendingRatings.push({
      dueMs,
      rating: {...rating, score: clamp(score, 0, 1)},
    });
  }
}

function createSegment(kind: KindProfile, phase: number): Segment {
  return {kind, phase, requestCount: 0, costSum: 0, qualitySum: 0};
}

/** Simulates a stream of requests with one policy. */
export function runChoice(inputs: ChoiceInputs): readonly Segment[] {
  return ChoiceRun.create(inputs).run();
}

function pickKindIndex(kinds: readonly KindProfile[], unit: number): number {
  let remaining = unit;
  for (const [index, {share}] of kinds.entries()) {
    if (remaining < share) return index;
    remaining -= share;
  }
  return kinds.length - 1;
}
