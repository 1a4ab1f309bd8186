import {clamp} from '../utils/math.js';
import {formatModelVersion, type ModelVersion} from '../types/identity.js';
import type {ModelOption} from './model_option.js';
import {
  addBinnedScore,
  addScore,
  createBinnedScores,
  createDecayedScores,
  estimateBin,
  estimateShift,
  estimateMean,
  findBinIndex,
  type BinnedScores,
  type Estimate,
  type DecayedScores,
} from './score_estimates.js';

/** Answers whose check score lies in one interval. */
export interface CheckBin {
  /** Probability that an answer falls into the interval. */
  readonly probability: number;
  readonly quality: Estimate;
}

/** Estimates the quality of a version's answers, by kind of request. */
export interface QualityModel {
  readonly binCount: number;
  /** Changes when estimates have changed enough that plans must be rebuilt. */
  readonly revision: number;
  /** Estimates the quality of answers given without a cascade. */
  estimate(kind: string, option: ModelOption): Estimate;
  /** Estimates the quality by interval of the check score, lowest first. */
  estimateCheckBins(kind: string, option: ModelOption): readonly CheckBin[];
  /**
   * Estimates the quality of an answer that follows a first answer of another
   * version whose check score lies in the given bin.
   */
  estimateEscalated(
    kind: string,
    option: ModelOption,
    first: ModelVersion,
    firstBin: number,
  ): Estimate;
}

/** An answer's version and check score. */
export interface CheckedAnswer extends ModelVersion {
  /** Between 0 and 1. */
  readonly checkScore: number;
}

/** A rating of one answer. */
export interface RatingObservation {
  readonly kind: string;
  readonly model: string;
  readonly version: string;
  /** Between 0 and 1. */
  readonly score: number;
  /** Check score of the rated answer, if it was checked. */
  readonly checkScore?: number;
  /** Answer that preceded it in a cascade. */
  readonly previous?: CheckedAnswer;
}

/** Outcome of one answer. */
export interface OutcomeObservation {
  readonly kind: string;
  readonly model: string;
  readonly version: string;
  /** Check score between 0 and 1, if the answer was checked. */
  readonly checkScore?: number;
  /** True for every answer of a cascade but the first. */
  readonly isEscalated?: boolean;
}

/** Options of {@link LearntQualityModel}. */
export interface LearntQualityModelOptions {
  /**
   * Number of ratings that the quality given in the rules is worth. Default: 6.
   */
  readonly priorWeight?: number;
  /** Number of ratings that the mean is worth in a check bin. Default: 3. */
  readonly binPriorWeight?: number;
  /** Factor on the weight of earlier ratings per new one. Default: 0.99. */
  readonly retention?: number;
  /** The same factor for check scores. Default: 0.997. */
  readonly checkRetention?: number;
  /** Number of intervals of the check score. Default: 12. */
  readonly binCount?: number;
  /** Number of ratings between two changes of the revision. Default: 20. */
  readonly ratingsPerRevision?: number;
}

const DEFAULTS: Required<LearntQualityModelOptions> = {
  priorWeight: 6,
  binPriorWeight: 3,
  retention: 0.99,
  checkRetention: 0.997,
  binCount: 12,
  ratingsPerRevision: 20,
};

interface VersionRecord {
  readonly direct: DecayedScores;
  readonly byCheck: BinnedScores;
  /** Scores of escalated answers, by the version of the first answer. */
  readonly byPrevious: Map<string, BinnedScores>;
  readonly checkCounts: number[];
}

/** Estimates quality from ratings, with the value in the rules as the prior. */
export class LearntQualityModel implements QualityModel {
  revision = 0;
  private readonly records = new Map<string, VersionRecord>();
  private ratingsSinceRevision = 0;

  private constructor(
    private readonly options: Required<LearntQualityModelOptions>,
  ) {}

  /**
   * Creates a model without ratings; estimates equal the values in the rules.
   *
   * @example
   * ```ts
   * const quality = LearntQualityModel.create({priorWeight: 20});
   * ```
   */
  static create(options: LearntQualityModelOptions = {}): LearntQualityModel {
    return new LearntQualityModel({...DEFAULTS, ...options});
  }

  get binCount(): number {
    return this.options.binCount;
  }

  estimate(kind: string, option: ModelOption): Estimate {
    const record = this.find(kind, option);
    const {priorWeight, retention} = this.options;
    const decayedPriorWeight =
      priorWeight * retention ** (record?.direct.count ?? 0);
    const rated = estimateMean(
      record?.direct,
      option.quality,
      decayedPriorWeight,
    );
    if (record === undefined) return rated;
    const {weight} = record.direct;
    const shift = estimateShift(record.byCheck, record.checkCounts);
    // The prior does not describe the requests that were rated, so the shift
    // since then applies only to the weight of the ratings.
    const mean = rated.mean + (shift * weight) / (weight + decayedPriorWeight);
    return {...rated, mean: clamp(mean, 0, 1)};
  }

  estimateCheckBins(kind: string, option: ModelOption): readonly CheckBin[] {
    const {binCount, binPriorWeight} = this.options;
    const record = this.find(kind, option);
    const {mean} = this.estimate(kind, option);
    const counts = record?.checkCounts ?? new Array<number>(binCount).fill(0);
    const total = counts.reduce((sum, count) => sum + count, binCount);
    return counts.map((count, bin) => ({
      probability: (count + 1) / total,
      quality: estimateBin(record?.byCheck, bin, mean, binPriorWeight),
    }));
  }

  estimateEscalated(
    kind: string,
    option: ModelOption,
    first: ModelVersion,
    firstBin: number,
  ): Estimate {
    const record = this.find(kind, option);
    const {mean} = this.estimate(kind, option);
    const scores = record?.byPrevious.get(formatModelVersion(first));
    return estimateBin(scores, firstBin, mean, this.options.binPriorWeight);
  }

  /** Records a rating. Ratings may arrive late, in any order, or not at all. */
  observeRating(rating: RatingObservation): void {
    const {retention, ratingsPerRevision} = this.options;
    const record = this.resolve(rating.kind, rating);
    const score = clamp(rating.score, 0, 1);
    if (rating.previous !== undefined) {
      const {checkScore} = rating.previous;
      const scores = this.resolvePrevious(record, rating.previous);
      addBinnedScore(scores, checkScore, score, retention);
    } else {
      addScore(record.direct, score, retention);
      if (rating.checkScore !== undefined) {
        addBinnedScore(record.byCheck, rating.checkScore, score, retention);
      }
    }
    this.ratingsSinceRevision += 1;
    if (this.ratingsSinceRevision < ratingsPerRevision) return;
    this.ratingsSinceRevision = 0;
    this.revision += 1;
  }

  /** Records the check score of an answer that has ended. */
  observeOutcome(outcome: OutcomeObservation): void {
    // Escalated answers are left out: they belong to harder requests than
    // average.
    if (outcome.checkScore === undefined || outcome.isEscalated) return;
    const {checkCounts} = this.resolve(outcome.kind, outcome);
    for (const bin of checkCounts.keys()) {
      checkCounts[bin] *= this.options.checkRetention;
    }
    checkCounts[findBinIndex(outcome.checkScore, checkCounts.length)] += 1;
  }

  private find(kind: string, version: ModelVersion) {
    return this.records.get(`${kind}/${formatModelVersion(version)}`);
  }

  private resolvePrevious(
    record: VersionRecord,
    first: ModelVersion,
  ): BinnedScores {
    const key = formatModelVersion(first);
    const found = record.byPrevious.get(key);
    if (found !== undefined) return found;
    const scores = createBinnedScores(this.options.binCount);
    record.byPrevious.set(key, scores);
    return scores;
  }

  private resolve(kind: string, version: ModelVersion): VersionRecord {
    const found = this.find(kind, version);
    if (found !== undefined) return found;
    const {binCount} = this.options;
    const record: VersionRecord = {
      direct: createDecayedScores(),
      byCheck: createBinnedScores(binCount),
      byPrevious: new Map(),
      checkCounts: new Array<number>(binCount).fill(0),
    };
    this.records.set(`${kind}/${formatModelVersion(version)}`, record);
    return record;
  }
}
