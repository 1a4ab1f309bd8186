import {clamp} from '../utils/math.js';
import {formatModelVersion, type ModelVersion} from '../types/identity.js';
import type {ModelOption} from './model_option.js';
import {
  addBinnedScore,
  addScore,
  createBinnedScores,
  createTally,
  estimateBin,
  estimateShift,
  estimateTally,
  resolveBin,
  type BinnedScores,
  type Estimate,
  type Tally,
} from './score_estimates.js';

/** Part of the answers whose check score lies in one interval. */
export interface CheckBin {
  readonly probability: number;
  readonly quality: Estimate;
}

/** What is believed of the answers of versions, by kind of request. */
export interface QualityModel {
  readonly binCount: number;
  /** Changes whenever an estimate changed enough to plan again. */
  readonly revision: number;
  /** Quality of direct answers. */
  estimate(kind: string, option: ModelOption): Estimate;
  /** Quality by check score, lowest score first. */
  estimateCheckBins(kind: string, option: ModelOption): readonly CheckBin[];
  /** Quality of an answer given after the first answer fell in a check bin. */
  estimateEscalated(
    kind: string,
    option: ModelOption,
    first: ModelVersion,
    firstBin: number,
  ): Estimate;
}

/** An answer of a version and the score that its check gave. */
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
  /** Check score of the rated answer, where it was checked. */
  readonly checkScore?: number;
  /** The answer before it in a cascade. */
  readonly previous?: CheckedAnswer;
}

/** The end of one answer. */
export interface OutcomeObservation {
  readonly kind: string;
  readonly model: string;
  readonly version: string;
  /** Check score between 0 and 1, where the answer was checked. */
  readonly checkScore?: number;
  /** True for an answer after the first of a cascade. */
  readonly isEscalated?: boolean;
}

/** Options of {@link LearntQuality}. */
export interface LearntQualityOptions {
  /** Ratings that the quality stated in the rules counts for; 6. */
  readonly priorWeight?: number;
  /** Ratings that the version's mean counts for within a check bin; 3. */
  readonly binPriorWeight?: number;
  /** Weight that older ratings keep with each new one; 0.99. */
  readonly retention?: number;
  /** Weight that older check scores keep with each new one; 0.997. */
  readonly checkRetention?: number;
  /** Intervals of the check score; 12. */
  readonly binCount?: number;
  /** Ratings between two changes of the revision; 20. */
  readonly ratingsPerRevision?: number;
}

const DEFAULTS: Required<LearntQualityOptions> = {
  priorWeight: 6,
  binPriorWeight: 3,
  retention: 0.99,
  checkRetention: 0.997,
  binCount: 12,
  ratingsPerRevision: 20,
};

interface VersionRecord {
  readonly direct: Tally;
  readonly byCheck: BinnedScores;
  /** By the version of the first answer, then by its check bin. */
  readonly byPrevious: Map<string, BinnedScores>;
  readonly checkCounts: number[];
}

/** Learns quality from ratings, with the rules' figure as the prior. */
export class LearntQuality implements QualityModel {
  revision = 0;
  private readonly records = new Map<string, VersionRecord>();
  private sinceRevision = 0;

  private constructor(
    private readonly options: Required<LearntQualityOptions>,
  ) {}

  /**
   * Creates a model that knows nothing but the rules' figures.
   *
   * @example
   * ```ts
   * const quality = LearntQuality.create({priorWeight: 20});
   * ```
   */
  static create(options: LearntQualityOptions = {}): LearntQuality {
    return new LearntQuality({...DEFAULTS, ...options});
  }

  get binCount(): number {
    return this.options.binCount;
  }

  estimate(kind: string, option: ModelOption): Estimate {
    const record = this.find(kind, option);
    const {priorWeight, retention} = this.options;
    const kept = priorWeight * retention ** (record?.direct.count ?? 0);
    const rated = estimateTally(record?.direct, option.quality, kept);
    if (record === undefined) return rated;
    const {weight} = record.direct;
    const shift = estimateShift(record.byCheck, record.checkCounts);
    // The prior is not about the requests that were rated.
    const mean = rated.mean + (shift * weight) / (weight + kept);
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

  /** Takes in a rating; ratings may come late, in any order, or not at all. */
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
    this.sinceRevision += 1;
    if (this.sinceRevision < ratingsPerRevision) return;
    this.sinceRevision = 0;
    this.revision += 1;
  }

  /** Takes in the end of an answer. */
  observeOutcome(outcome: OutcomeObservation): void {
    // Escalated answers are to harder requests than the others.
    if (outcome.checkScore === undefined || outcome.isEscalated) return;
    const {checkCounts} = this.resolve(outcome.kind, outcome);
    for (const bin of checkCounts.keys()) {
      checkCounts[bin] *= this.options.checkRetention;
    }
    checkCounts[resolveBin(outcome.checkScore, checkCounts.length)] += 1;
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
      direct: createTally(),
      byCheck: createBinnedScores(binCount),
      byPrevious: new Map(),
      checkCounts: new Array<number>(binCount).fill(0),
    };
    this.records.set(`${kind}/${formatModelVersion(version)}`, record);
    return record;
  }
}
