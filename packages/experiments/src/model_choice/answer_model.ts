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

/** The true quality of an answer and the score that its check returns. */
export interface Answer {
  readonly quality: number;
  readonly checkScore: number;
}

/** Samples the difficulty of a request. */
export function sampleDifficulty(kind: KindProfile, random: Random): number {
  return kind.difficultyMean + kind.difficultyDeviation * sampleNormal(random);
}

/** Samples the answer of a version with `skill` to a request. */
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

interface TrueVersionQuality {
  readonly mean: number;
  readonly bins: readonly CheckBin[];
  readonly escalatedMeansByFirst: ReadonlyMap<string, readonly number[]>;
}

function createEstimate(mean: number): Estimate {
  return {mean, variance: 0, ratingCount: Infinity};
}

/**
 * A quality model with the true distribution of answers, but not the answer to a
 * single request. The oracle policy uses it.
 */
export class TrueQuality implements QualityModel {
  readonly binCount = ORACLE_BIN_COUNT;
  readonly revision = 0;

  private constructor(
    private readonly versionQualities: Map<string, TrueVersionQuality>,
  ) {}

  static create(deployment: Deployment): TrueQuality {
    const versionQualities = new Map<string, TrueVersionQuality>();
    for (const kind of deployment.kinds) {
      for (const version of deployment.versions) {
        const versionQuality = sampleTrueQuality(
          kind,
          version,
          deployment.versions,
        );
        versionQualities.set(`${kind.kind}/${version.model}`, versionQuality);
      }
    }
    return new TrueQuality(versionQualities);
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
    const {escalatedMeansByFirst} = this.find(kind, option);
    const means = escalatedMeansByFirst.get(first.model) ?? [];
    return createEstimate(means[firstBin]);
  }

  private find(kind: string, option: ModelVersion): TrueVersionQuality {
    return this.versionQualities.get(
      `${kind}/${option.model}`,
    ) as TrueVersionQuality;
  }
}

function sampleTrueQuality(
  kind: KindProfile,
  version: VersionProfile,
  versions: readonly VersionProfile[],
): TrueVersionQuality {
  const random = createRandom(1);
  const counts = new Array<number>(ORACLE_BIN_COUNT).fill(0);
  const sums = new Array<number>(ORACLE_BIN_COUNT).fill(0);
  const escalated = versions.map(() => ({
    counts: new Array<number>(ORACLE_BIN_COUNT).fill(0),
    sums: new Array<number>(ORACLE_BIN_COUNT).fill(0),
  }));
  let qualitySum = 0;
  for (let i = 0; i < ORACLE_SAMPLE_COUNT; i++) {
    const difficulty = sampleDifficulty(kind, random);
    const answer = sampleAnswer(version.skill, difficulty, random);
    const bin = Math.floor(answer.checkScore * ORACLE_BIN_COUNT);
    counts[bin] += 1;
    sums[bin] += answer.quality;
    qualitySum += answer.quality;
    for (const [index, first] of versions.entries()) {
      const {checkScore} = sampleAnswer(first.skill, difficulty, random);
      const firstBin = Math.floor(checkScore * ORACLE_BIN_COUNT);
      escalated[index].counts[firstBin] += 1;
      escalated[index].sums[firstBin] += answer.quality;
    }
  }
  const mean = qualitySum / ORACLE_SAMPLE_COUNT;
  return {
    mean,
    bins: counts.map((count, bin) => ({
      probability: count / ORACLE_SAMPLE_COUNT,
      quality: createEstimate(count === 0 ? mean : sums[bin] / count),
    })),
    escalatedMeansByFirst: new Map(
      versions.map((first, index) => [
        first.model,
        escalated[index].counts.map((count, bin) =>
          count === 0 ? mean : escalated[index].sums[bin] / count,
        ),
      ]),
    ),
  };
}
