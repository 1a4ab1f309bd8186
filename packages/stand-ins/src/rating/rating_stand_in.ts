import {
  readJson,
  sendJson,
  startHttpServer,
  type HttpExchange,
  type ListenOptions,
  type StandIn,
} from '../http/http_server.js';
import {hashToUnitInterval} from '../utils/hash.js';

/** Mean score, between 0 and 1, by `model@version`. */
export type QualityTable = Readonly<Record<string, number>>;

/** Settings of the rating service; all of them can be changed at run time. */
export interface RatingSettings {
  /** Answers accepted per second. */
  readonly ratePerS: number;
  readonly quality: QualityTable;
  /** Delay until a rating is visible to readers. */
  readonly lagMs: number;
  /** Share of accepted answers that are never rated. */
  readonly loss: number;
  /** Every call is answered 503. */
  readonly isDown: boolean;
}

/** Settings of the rating service stand-in. */
export interface RatingStandInOptions
  extends ListenOptions, Partial<RatingSettings> {}

/** The rating of an answer. */
export interface RatingRecord {
  readonly sequence: number;
  readonly requestId: string;
  readonly kind: string;
  readonly model: string;
  readonly version: string;
  readonly score: number;
}

/** A running rating service stand-in. */
export interface RatingStandIn extends StandIn {
  /** Changes the given settings and leaves the others as they are. */
  setFaults(settings: Partial<RatingSettings>): void;
}

interface TimestampedRating {
  readonly recordedAtMs: number;
  readonly rating: RatingRecord;
}

type RatingBody = Omit<RatingRecord, 'sequence' | 'score'>;

const DEFAULT_QUALITY = 0.8;
const SCORE_SPREAD = 0.2;
const RATING_LIMIT = 20_000;
const MS_PER_S = 1000;

const DEFAULT_SETTINGS: RatingSettings = {
  ratePerS: 50,
  quality: {},
  lagMs: 0,
  loss: 0,
  isDown: false,
};

/** State and request handlers of one rating service. */
class RatingService {
  private settings: RatingSettings;
  private ratings: TimestampedRating[] = [];
  private sequence = 0;
  private bucketTokens: number;
  private refilledAtMs = performance.now();

  constructor(settings: Partial<RatingSettings>) {
    this.settings = {...DEFAULT_SETTINGS, ...settings};
    this.bucketTokens = this.bucketCapacity;
  }

  updateSettings(settings: Partial<RatingSettings>): void {
    this.settings = {...this.settings, ...settings};
  }

  async rate({request, response}: HttpExchange): Promise<void> {
    const body = await readJson<RatingBody>(request);
    if (this.settings.isDown) {
      sendJson(response, 503, {});
      return;
    }
    if (!this.takeToken()) {
      const retryAfterMs = Math.ceil(MS_PER_S / this.settings.ratePerS);
      sendJson(response, 429, {retryAfterMs});
      return;
    }
    if (hashToUnitInterval(`loss ${body.requestId}`) >= this.settings.loss) {
      this.recordRating(body);
    }
    sendJson(response, 202, {});
  }

  list({url, response}: HttpExchange): void {
    if (this.settings.isDown) {
      sendJson(response, 503, {});
      return;
    }
    const after = Number(url.searchParams.get('after') ?? 0);
    const cutoffMs = performance.now() - this.settings.lagMs;
    const ratings = this.ratings
      .filter(
        ({recordedAtMs, rating}) =>
          recordedAtMs <= cutoffMs && rating.sequence > after,
      )
      .map(({rating}) => rating);
    const next = ratings.at(-1)?.sequence ?? after;
    sendJson(response, 200, {ratings, next});
  }

  private recordRating(body: RatingBody): void {
    const {requestId, kind, model, version} = body;
    this.sequence += 1;
    const score = this.computeScore(requestId, `${model}@${version}`);
    const {sequence} = this;
    const rating = {sequence, requestId, kind, model, version, score};
    this.ratings.push({recordedAtMs: performance.now(), rating});
    if (this.ratings.length > RATING_LIMIT) {
      this.ratings = this.ratings.slice(-RATING_LIMIT / 2);
    }
  }

  private computeScore(requestId: string, modelVersion: string): number {
    const mean = this.settings.quality[modelVersion] ?? DEFAULT_QUALITY;
    const noise =
      (hashToUnitInterval(`score ${requestId}`) - 0.5) * SCORE_SPREAD;
    return Math.min(1, Math.max(0, mean + noise));
  }

  private get bucketCapacity(): number {
    return Math.max(1, this.settings.ratePerS);
  }

  private takeToken(): boolean {
    const nowMs = performance.now();
    const {ratePerS} = this.settings;
    const elapsedS = (nowMs - this.refilledAtMs) / MS_PER_S;
    this.bucketTokens = Math.min(
      this.bucketCapacity,
      this.bucketTokens + elapsedS * ratePerS,
    );
    this.refilledAtMs = nowMs;
    if (this.bucketTokens < 1) return false;
    this.bucketTokens -= 1;
    return true;
  }
}

/**
 * Starts an HTTP stand-in for a service that rates the answers of models.
 *
 * @example
 * ```ts
 * const rating = await startRatingStandIn({quality: {'quick@v1': 0.7}});
 * rating.setFaults({quality: {'quick@v1': 0.2}});
 * ```
 */
export async function startRatingStandIn(
  options: RatingStandInOptions = {},
): Promise<RatingStandIn> {
  const {host, port, ...settings} = options;
  const service = new RatingService(settings);
  const server = await startHttpServer({host, port}, [
    {method: 'POST', path: '/v1/ratings', handle: e => service.rate(e)},
    {method: 'GET', path: '/v1/ratings', handle: e => service.list(e)},
    {
      method: 'POST',
      path: '/admin/faults',
      handle: async e => {
        service.updateSettings(
          await readJson<Partial<RatingSettings>>(e.request),
        );
        sendJson(e.response, 200, {});
      },
    },
  ]);
  return {...server, setFaults: settings => service.updateSettings(settings)};
}
