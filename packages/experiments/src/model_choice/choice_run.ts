import {
  ModelChooser,
  clamp,
  createRandom,
  sampleExponential,
  sampleNormal,
  type CheckedAnswer,
  type ModelChooserOptions,
  type ModelOption,
  type QualityModel,
  type RatingObservation,
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
  const random = createRandom(seed * 7919);
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

/** Runs one policy over one stream of requests. */
export function runChoice(
  deployment: Deployment,
  scenario: Scenario,
  chooserOptions: ModelChooserOptions,
  seed: number,
  truths: readonly TrueQuality[],
  qualityByPhase?: readonly QualityModel[],
): readonly Segment[] {
  const random = createRandom(seed);
  const optionsByKind = createOptionsByKind(
    deployment,
    scenario,
    truths[0],
    seed,
  );
  const cascadeModels = deployment.versions.map(({model}) => model);
  const dearest = deployment.versions[deployment.versions.length - 1];
  let chooser = ModelChooser.create({
    ...chooserOptions,
    quality: qualityByPhase?.[0],
  });
  const versionsByPhase = [0, 1].map(phase =>
    listVersions(deployment, scenario, phase),
  );
  let pending: PendingRating[] = [];
  const segments: Segment[] = [0, 1].flatMap(phase =>
    deployment.kinds.map(kind => ({
      kind,
      phase,
      requestCount: 0,
      cost: 0,
      quality: 0,
    })),
  );
  for (let i = 0; i < REQUEST_COUNT; i++) {
    const nowMs = i * REQUEST_GAP_MS;
    const phase = i < REQUEST_COUNT / 2 ? 0 : 1;
    if (qualityByPhase && i === REQUEST_COUNT / 2) {
      chooser = ModelChooser.create({
        ...chooserOptions,
        quality: qualityByPhase[1],
      });
    }
    if (i % 20 === 0) {
      const due = pending.filter(({dueMs}) => dueMs <= nowMs);
      pending = pending.filter(({dueMs}) => dueMs > nowMs);
      for (const {rating} of due) chooser.observeRating(rating);
    }
    const kindIndex = pickKindIndex(deployment.kinds, random());
    const kind = deployment.kinds[kindIndex];
    const organisation =
      deployment.organisations[
        Math.floor(random() * deployment.organisations.length)
      ];
    const difficulty = sampleDifficulty(kind, random);
    const isOut = (i % OUTAGE_PERIOD) / OUTAGE_PERIOD < scenario.outageShare;
    const plan = chooser.choose({
      organisation,
      kind: kind.kind,
      key: `r-${seed}-${i}`,
      qualityTarget: kind.qualityTarget,
      options: optionsByKind.get(kind.kind) ?? [],
      cascadeModels,
      excluded: isOut ? [dearest] : [],
    });
    const versions = versionsByPhase[phase];
    const segment = segments[phase * deployment.kinds.length + kindIndex];
    segment.requestCount += 1;
    let previous: CheckedAnswer | undefined;
    for (const [index, step] of plan?.steps.entries() ?? []) {
      const version = versions.find(({model}) => model === step.model);
      const answer = sampleAnswer(version?.skill ?? 0, difficulty, random);
      const {checkScore} = answer;
      const observed = {kind: kind.kind, ...step, checkScore};
      chooser.observeOutcome({...observed, isEscalated: index > 0});
      segment.cost += step.costPerMtok;
      const isRated = random() < scenario.ratingShare;
      if (isRated && random() >= scenario.ratingLossShare) {
        const score = answer.quality + RATING_NOISE * sampleNormal(random);
        pending.push({
          dueMs: nowMs + sampleExponential(random, scenario.ratingDelayMeanMs),
          rating: {...observed, score: clamp(score, 0, 1), previous},
        });
      }
      previous = {...step, checkScore};
      const threshold = plan?.checkThresholds[index];
      if (threshold !== undefined && checkScore < threshold) continue;
      segment.quality += answer.quality;
      break;
    }
  }
  return segments;
}

function pickKindIndex(kinds: readonly KindProfile[], unit: number): number {
  let rest = unit;
  for (const [index, {share}] of kinds.entries()) {
    if (rest < share) return index;
    rest -= share;
  }
  return kinds.length - 1;
}
