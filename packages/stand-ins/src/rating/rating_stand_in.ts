import {
  readJson,
  sendJson,
  startHttpServer,
  type Exchange,
  type ListenOptions,
  type StandIn,
} from '../http/http_server.js';
import {hashToUnit} from '../utils/hash.js';

/** Quality between 0 and 1 by `model@version`. */
export type QualityTable = Readonly<Record<string, number>>;

/** Settings of the rating service, all of which can change at run time. */
export interface RatingSettings {
  /** Answers accepted a second. */
  readonly ratePerS: number;
  readonly quality: QualityTable;
  /** Age that a rating must reach before readers see it. */
  readonly lagMs: number;
  /** Share of accepted answers that are never rated. */
  readonly loss: number;
  readonly isDown: boolean;
}

/** Settings of the rating service stand-in. */
export interface RatingStandInOptions
  extends ListenOptions, Partial<RatingSettings> {}

/** One rated answer. */
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
  setFaults(settings: Partial<RatingSettings>): void;
}

interface DatedRating {
  readonly atMs: number;
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

/** State and handlers of one rating service. */
class RatingService {
  private settings: RatingSettings;
  private ratings: DatedRating[] = [];
  private sequence = 0;
  private tokens: number;
  private refilledAtMs = performance.now();

  constructor(settings: Partial<RatingSettings>) {
    this.settings = {...DEFAULT_SETTINGS, ...settings};
    this.tokens = this.burst;
  }

  set(settings: Partial<RatingSettings>): void {
    this.settings = {...this.settings, ...settings};
  }

  async rate({request, response}: Exchange): Promise<void> {
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
    if (hashToUnit(`loss ${body.requestId}`) >= this.settings.loss) {
      this.record(body);
    }
    sendJson(response, 202, {});
  }

  list({url, response}: Exchange): void {
    if (this.settings.isDown) {
      sendJson(response, 503, {});
      return;
    }
    const after = Number(url.searchParams.get('after') ?? 0);
    const horizonMs = performance.now() - this.settings.lagMs;
    const ratings = this.ratings
      .filter(({atMs, rating}) => atMs <= horizonMs && rating.sequence > after)
      .map(({rating}) => rating);
    const next = ratings.at(-1)?.sequence ?? after;
    sendJson(response, 200, {ratings, next});
  }

  private record(body: RatingBody): void {
    const {requestId, kind, model, version} = body;
    this.sequence += 1;
    const score = this.score(requestId, `${model}@${version}`);
    const {sequence} = this;
    const rating = {sequence, requestId, kind, model, version, score};
    this.ratings.push({atMs: performance.now(), rating});
    if (this.ratings.length > RATING_LIMIT) {
      this.ratings = this.ratings.slice(-RATING_LIMIT / 2);
    }
  }

  private score(requestId: string, modelVersion: string): number {
    const mean = this.settings.quality[modelVersion] ?? DEFAULT_QUALITY;
    const noise = (hashToUnit(`score ${requestId}`) - 0.5) * SCORE_SPREAD;
    return Math.min(1, Math.max(0, mean + noise));
  }

  private get burst(): number {
    return Math.max(1, this.settings.ratePerS);
  }

  private takeToken(): boolean {
    const nowMs = performance.now();
    const {ratePerS} = this.settings;
    const elapsedS = (nowMs - this.refilledAtMs) / MS_PER_S;
    this.tokens = Math.min(this.burst, this.tokens + elapsedS * ratePerS);
    this.refilledAtMs = nowMs;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}

/**
 * Starts a stand-in of a service that rates answers.
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
        service.set(await readJson<Partial<RatingSettings>>(e.request));
        sendJson(e.response, 200, {});
      },
    },
  ]);
  return {...server, setFaults: settings => service.set(settings)};
}
