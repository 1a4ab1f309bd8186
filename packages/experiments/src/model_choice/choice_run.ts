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
} from './answer_world.js';
import type {Deployment, KindProfile, VersionProfile} from './deployments.js';

/** What happens while the requests come in. */
export interface Scenario {
  readonly name: string;
  readonly ratingShare: number;
  readonly ratingDelayMeanMs: number;
  /** Part of the ratings that never arrive. */
  readonly ratingLossShare: number;
  /** Error of the quality stated in the rules. */
  readonly priorError: number;
  /** Change of the cheapest version's skill halfway. */
  readonly driftSkill: number;
  /** Part of the time in which the dearest model has no backend server. */
  readonly outageShare: number;
}

/** Served requests of one kind in one half of the run. */
export interface Segment {
  readonly kind: KindProfile;
  readonly phase: number;
  requestCount: number;
  cost: number;
  quality: number;
}

export const REQUEST_COUNT = 40_000;
const REQUEST_GAP_MS = 50;
const OUTAGE_PERIOD = 2000;
const OPTION_SEED_FACTOR = 7919;
const RATING_NOISE = 0.08;

interface PendingRating {
  readonly dueMs: number;
  readonly rating: RatingObservation;
}

/** The versions of a phase; drift lowers the skill of the cheapest. */
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
  truth: TrueQuality,
  seed: number,
): ReadonlyMap<string, readonly ModelOption[]> {
  const random = createRandom(seed * OPTION_SEED_FACTOR);
  const entries = deployment.kinds.map(({kind}) => {
    const options = deployment.versions.map((version, index) => {
      const {mean} = truth.estimate(kind, version);
      const error = scenario.priorError * sampleNormal(random);
      const quality = clamp(mean + error, 0.05, 0.98);
      return {...version, quality, share: 1, sourceLine: index + 1};
    });
    return [kind, options] as const;
  });
  return new Map(entries);
}

/** What a run is made of. */
export interface ChoiceInputs {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly chooserOptions: ModelChooserOptions;
  readonly seed: number;
  /** True distributions before and after the drift. */
  readonly truths: readonly TrueQuality[];
  /** True for the oracle, which knows the true distributions. */
  readonly isOracle: boolean;
}

/** One stream of requests and ratings through one chooser. */
class ChoiceRun {
  private readonly random: Random;
  private readonly optionsByKind: ReadonlyMap<string, readonly ModelOption[]>;
  private readonly versionsByPhase: readonly (readonly VersionProfile[])[];
  private readonly cascadeModels: readonly string[];
  private readonly segments: readonly Segment[];
  private chooser: ModelChooser;
  private pending: PendingRating[] = [];

  private constructor(private readonly inputs: ChoiceInputs) {
    const {deployment, scenario, truths, seed} = inputs;
    this.random = createRandom(seed);
    this.optionsByKind = createOptionsByKind(
      deployment,
      scenario,
      truths[0],
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
      const isTurn = index === REQUEST_COUNT / 2;
      if (isTurn && this.inputs.isOracle) this.chooser = this.createChooser(1);
      if (index % 20 === 0) this.deliverRatings(index * REQUEST_GAP_MS);
      this.serve(index);
    }
    return this.segments;
  }

  private createChooser(phase: number): ModelChooser {
    const {chooserOptions, truths, isOracle} = this.inputs;
    const quality = isOracle ? truths[phase] : undefined;
    return ModelChooser.create({...chooserOptions, quality});
  }

  private deliverRatings(nowMs: number): void {
    const due = this.pending.filter(({dueMs}) => dueMs <= nowMs);
    this.pending = this.pending.filter(({dueMs}) => dueMs > nowMs);
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
    const isOut =
      (index % OUTAGE_PERIOD) / OUTAGE_PERIOD < scenario.outageShare;
    const plan = this.chooser.choose({
      organisation,
      kind: kind.kind,
      key: `r-${seed}-${index}`,
      qualityTarget: kind.qualityTarget,
      options: this.optionsByKind.get(kind.kind) ?? [],
      cascadeModels: this.cascadeModels,
      excluded: isOut ? deployment.versions.slice(-1) : [],
    });
    const segment = this.segments[phase * kinds.length + kindIndex];
    segment.requestCount += 1;
    if (plan === undefined) return;
    this.answer(plan, segment, difficulty, index * REQUEST_GAP_MS);
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
      segment.cost += step.costPerMtok;
      this.rate(answer.quality, {...observed, previous}, nowMs);
      previous = {...step, checkScore};
      const threshold = plan.checkThresholds[index];
      if (threshold !== undefined && checkScore < threshold) continue;
      segment.quality += answer.quality;
      break;
    }
  }

  private rate(
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
    this.pending.push({dueMs, rating: {...rating, score: clamp(score, 0, 1)}});
  }
}

function createSegment(kind: KindProfile, phase: number): Segment {
  return {kind, phase, requestCount: 0, cost: 0, quality: 0};
}

/** Runs one policy over one stream of requests. */
export function runChoice(inputs: ChoiceInputs): readonly Segment[] {
  return ChoiceRun.create(inputs).run();
}

function pickKindIndex(kinds: readonly KindProfile[], unit: number): number {
  let rest = unit;
  for (const [index, {share}] of kinds.entries()) {
    if (rest < share) return index;
    rest -= share;
  }
  return kinds.length - 1;
}
