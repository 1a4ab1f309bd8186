import {
  clamp,
  createRandom,
  sampleNormal,
  type CheckBin,
  type Estimate,
  type ModelVersion,
  type QualityModel,
  type Random,
} from '@anvilrudder/core';
import type {Deployment, KindProfile, VersionProfile} from './deployments.js';

const CHECK_NOISE = 0.12;
const ANSWER_NOISE = 0.05;
const ORACLE_BIN_COUNT = 40;
const ORACLE_SAMPLE_COUNT = 40_000;

/** An answer's true quality and the score that its check gives. */
export interface Answer {
  readonly quality: number;
  readonly checkScore: number;
}

/** Draws the difficulty of a request. */
export function sampleDifficulty(kind: KindProfile, random: Random): number {
  return kind.difficultyMean + kind.difficultyDeviation * sampleNormal(random);
}

/** Draws the answer of a version to a request of some difficulty. */
export function sampleAnswer(
  skill: number,
  difficulty: number,
  random: Random,
): Answer {
  const expected = 1 / (1 + Math.exp(difficulty - skill));
  const noise = ANSWER_NOISE * sampleNormal(random);
  const quality = clamp(expected + noise, 0, 1);
  const check = quality + CHECK_NOISE * sampleNormal(random);
  return {quality, checkScore: clamp(check, 0, 0.999)};
}

interface VersionTruth {
  readonly mean: number;
  readonly bins: readonly CheckBin[];
  readonly escalatedByFirst: ReadonlyMap<string, readonly number[]>;
}

function createEstimate(mean: number): Estimate {
  return {mean, variance: 0, ratingCount: Infinity};
}

/**
 * Knows the true distribution of answers, though not the answer to a single
 * request; the basis of the oracle.
 */
export class TrueQuality implements QualityModel {
  readonly binCount = ORACLE_BIN_COUNT;
  readonly revision = 0;

  private constructor(private readonly truths: Map<string, VersionTruth>) {}

  static create(deployment: Deployment): TrueQuality {
    const truths = new Map<string, VersionTruth>();
    for (const kind of deployment.kinds) {
      for (const version of deployment.versions) {
        const truth = measureTruth(kind, version, deployment.versions);
        truths.set(`${kind.kind}/${version.model}`, truth);
      }
    }
    return new TrueQuality(truths);
  }

  estimate(kind: string, option: ModelVersion): Estimate {
    return createEstimate(this.find(kind, option).mean);
  }

  estimateCheckBins(kind: string, option: ModelVersion): readonly CheckBin[] {
    return this.find(kind, option).bins;
  }

  estimateEscalated(
    kind: string,
    option: ModelVersion,
    first: ModelVersion,
    firstBin: number,
  ): Estimate {
    const {escalatedByFirst} = this.find(kind, option);
    const means = escalatedByFirst.get(first.model) ?? [];
    return createEstimate(means[firstBin]);
  }

  private find(kind: string, option: ModelVersion): VersionTruth {
    return this.truths.get(`${kind}/${option.model}`) as VersionTruth;
  }
}

function measureTruth(
  kind: KindProfile,
  version: VersionProfile,
  versions: readonly VersionProfile[],
): VersionTruth {
  const random = createRandom(1);
  const counts = new Array<number>(ORACLE_BIN_COUNT).fill(0);
  const sums = new Array<number>(ORACLE_BIN_COUNT).fill(0);
  const escalated = versions.map(() => ({
    counts: new Array<number>(ORACLE_BIN_COUNT).fill(0),
    sums: new Array<number>(ORACLE_BIN_COUNT).fill(0),
  }));
  let total = 0;
  for (let i = 0; i < ORACLE_SAMPLE_COUNT; i++) {
    const difficulty = sampleDifficulty(kind, random);
    const answer = sampleAnswer(version.skill, difficulty, random);
    const bin = Math.floor(answer.checkScore * ORACLE_BIN_COUNT);
    counts[bin] += 1;
    sums[bin] += answer.quality;
    total += answer.quality;
    for (const [index, first] of versions.entries()) {
      const {checkScore} = sampleAnswer(first.skill, difficulty, random);
      const firstBin = Math.floor(checkScore * ORACLE_BIN_COUNT);
      escalated[index].counts[firstBin] += 1;
      escalated[index].sums[firstBin] += answer.quality;
    }
  }
  const mean = total / ORACLE_SAMPLE_COUNT;
  return {
    mean,
    bins: counts.map((count, bin) => ({
      probability: count / ORACLE_SAMPLE_COUNT,
      quality: createEstimate(count === 0 ? mean : sums[bin] / count),
    })),
    escalatedByFirst: new Map(
      versions.map((first, index) => [
        first.model,
        escalated[index].counts.map((count, bin) =>
          count === 0 ? mean : escalated[index].sums[bin] / count,
        ),
      ]),
    ),
  };
}
