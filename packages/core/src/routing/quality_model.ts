import {clamp} from '../utils/math.js';
import {formatModelVersion, type ModelVersion} from '../types/identity.js';
import type {ModelOption} from './model_option.js';

/** An estimated mean and the variance of that estimate. */
export interface Estimate {
  readonly mean: number;
  readonly variance: number;
  /** Ratings behind the estimate, without the prior. */
  readonly ratingCount: number;
}

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
  checkBins(kind: string, option: ModelOption): readonly CheckBin[];
  /** Quality of an answer given after the first answer fell in a check bin. */
  escalated(
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
}

/** Options of {@link LearntQuality}. */
export interface LearntQualityOptions {
  /** Ratings that the quality stated in the rules counts for; 8. */
  readonly priorWeight?: number;
  /** Ratings that the version's mean counts for within a check bin; 3. */
  readonly binPriorWeight?: number;
  /** Weight that older ratings keep with each new one; 0.998. */
  readonly retention?: number;
  /** Intervals of the check score; 8. */
  readonly binCount?: number;
  /** Ratings between two changes of the revision; 20. */
  readonly ratingsPerRevision?: number;
}

const DEFAULTS: Required<LearntQualityOptions> = {
  priorWeight: 8,
  binPriorWeight: 3,
  retention: 0.998,
  binCount: 8,
  ratingsPerRevision: 20,
};
const SCORE_VARIANCE = 0.03;

interface Tally {
  weight: number;
  sum: number;
  count: number;
}

interface VersionRecord {
  readonly direct: Tally;
  readonly byCheck: readonly Tally[];
  /** By the version of the first answer, then by its check bin. */
  readonly byPrevious: Map<string, readonly Tally[]>;
  readonly checkCounts: number[];
}

function createTally(): Tally {
  return {weight: 0, sum: 0, count: 0};
}

function addScore(tally: Tally, score: number, retention: number): void {
  tally.weight = tally.weight * retention + 1;
  tally.sum = tally.sum * retention + score;
  tally.count += 1;
}

function estimateTally(
  tally: Tally | undefined,
  priorMean: number,
  priorWeight: number,
): Estimate {
  const weight = priorWeight + (tally?.weight ?? 0);
  const sum = priorWeight * priorMean + (tally?.sum ?? 0);
  return {
    mean: sum / weight,
    variance: SCORE_VARIANCE / weight,
    ratingCount: tally?.count ?? 0,
  };
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
    return estimateTally(
      record?.direct,
      option.quality,
      this.options.priorWeight,
    );
  }

  checkBins(kind: string, option: ModelOption): readonly CheckBin[] {
    const {binCount, binPriorWeight} = this.options;
    const record = this.find(kind, option);
    const {mean} = this.estimate(kind, option);
    const counts = record?.checkCounts ?? new Array<number>(binCount).fill(0);
    const total = counts.reduce((sum, count) => sum + count, binCount);
    return counts.map((count, bin) => ({
      probability: (count + 1) / total,
      quality: estimateTally(record?.byCheck[bin], mean, binPriorWeight),
    }));
  }

  escalated(
    kind: string,
    option: ModelOption,
    first: ModelVersion,
    firstBin: number,
  ): Estimate {
    const record = this.find(kind, option);
    const {mean} = this.estimate(kind, option);
    const tallies = record?.byPrevious.get(formatModelVersion(first));
    return estimateTally(
      tallies?.[firstBin],
      mean,
      this.options.binPriorWeight,
    );
  }

  /** Takes in a rating; ratings may come late, in any order, or not at all. */
  observeRating(rating: RatingObservation): void {
    const {retention, ratingsPerRevision} = this.options;
    const record = this.resolve(rating.kind, rating);
    const score = clamp(rating.score, 0, 1);
    if (rating.previous === undefined) {
      addScore(record.direct, score, retention);
    } else {
      const bin = this.resolveBin(rating.previous.checkScore);
      const tallies = this.resolvePrevious(record, rating.previous);
      addScore(tallies[bin], score, retention);
    }
    if (rating.checkScore !== undefined) {
      const bin = this.resolveBin(rating.checkScore);
      addScore(record.byCheck[bin], score, retention);
    }
    this.sinceRevision += 1;
    if (this.sinceRevision < ratingsPerRevision) return;
    this.sinceRevision = 0;
    this.revision += 1;
  }

  /** Takes in the end of an answer. */
  observeOutcome(outcome: OutcomeObservation): void {
    if (outcome.checkScore === undefined) return;
    const record = this.resolve(outcome.kind, outcome);
    record.checkCounts[this.resolveBin(outcome.checkScore)] += 1;
  }

  private resolveBin(checkScore: number): number {
    const {binCount} = this.options;
    return clamp(Math.floor(checkScore * binCount), 0, binCount - 1);
  }

  private find(kind: string, version: ModelVersion) {
    return this.records.get(`${kind}/${formatModelVersion(version)}`);
  }

  private resolvePrevious(
    record: VersionRecord,
    first: ModelVersion,
  ): readonly Tally[] {
    const key = formatModelVersion(first);
    const found = record.byPrevious.get(key);
    if (found !== undefined) return found;
    const tallies = Array.from({length: this.options.binCount}, createTally);
    record.byPrevious.set(key, tallies);
    return tallies;
  }

  private resolve(kind: string, version: ModelVersion): VersionRecord {
    const found = this.find(kind, version);
    if (found !== undefined) return found;
    const bins = Array.from({length: this.options.binCount});
    const record: VersionRecord = {
      direct: createTally(),
      byCheck: bins.map(createTally),
      byPrevious: new Map(),
      checkCounts: bins.map(() => 0),
    };
    this.records.set(`${kind}/${formatModelVersion(version)}`, record);
    return record;
  }
}
