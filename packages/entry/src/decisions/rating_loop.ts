import {
  planRatingShares,
  type ModelVersion,
  type Random,
  type RatingObservation,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {
  Rating,
  RatingAcceptance,
  RatingPage,
  RatingRequest,
} from '@anvilrudder/clients';

const POLL_PERIOD_MS = 1000;
const MAX_QUEUED_ANSWERS = 100;
const MAX_SENT_ANSWERS = 10_000;
const MAX_ANSWER_CHARACTERS = 16_384;
/** Weight of the newest sample in the moving averages of request rates. */
const RATE_SMOOTHING_WEIGHT = 0.2;
const MS_PER_S = 1000;

/** A complete answer that may be sent to the rating service. */
export interface RatableAnswer extends ModelVersion {
  readonly requestId: string;
  readonly kind: string;
  readonly text: string;
  readonly checkScore: number | undefined;
  /** True for a version in rollout, which needs ratings quickly. */
  readonly isCandidate: boolean;
}

/** Client of the configured rating service. */
export interface RatingService {
  rate(request: RatingRequest): Promise<RatingAcceptance>;
  /** Reads the ratings after a sequence number. */
  list(afterSequence: number): Promise<RatingPage>;
}

/** Options of {@link startRatingLoop}. */
export interface RatingLoopOptions {
  readonly service: RatingService;
  /** Returns this entry's share of the answers per second that are rated. */
  readonly budgetPerS: () => number;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  /** Called for each rating of any entry's answer, late and in any order. */
  readonly onRating: (rating: RatingObservation) => void;
  /** Called once for the rating of an answer that this entry sent. */
  readonly onOwnRating: (rating: Rating) => void;
}

/** Sends answers to the rating service and polls it for ratings. */
export interface RatingLoop {
  /**
   * Queues an answer for rating, or drops it when this entry's share of the
   * service's rate is used up or the queue is full.
   */
  offer(answer: RatableAnswer): void;
  stop(): void;
}

type AnswerGroup = 'candidate' | 'other';

/**
 * Starts to send answers and to poll for ratings. Answers beyond the rate of
 * the service are not rated.
 *
 * @example
 * ```ts
 * const ratings = startRatingLoop(options);
 * ratings.offer(answer);
 * ```
 */
export function startRatingLoop(options: RatingLoopOptions): RatingLoop {
  const {service, random, metrics, logger} = options;
  const queue: RatableAnswer[] = [];
  const sentAnswers = new Map<string, RatableAnswer>();
  const offeredCounts: Record<AnswerGroup, number> = {candidate: 0, other: 0};
  const requestRatesPerS: Record<AnswerGroup, number> = {
    candidate: 0,
    other: 0,
  };
  let afterSequence = 0;
  let pausedUntilMs = 0;
  let timer: NodeJS.Timeout | undefined;
  let isStopped = false;

  function offer(answer: RatableAnswer): void {
    const group: AnswerGroup = answer.isCandidate ? 'candidate' : 'other';
    offeredCounts[group] += 1;
    const shares = planRatingShares({
      budgetPerS: options.budgetPerS(),
      candidateRequestsPerS: requestRatesPerS.candidate,
      otherRequestsPerS: requestRatesPerS.other,
    });
    if (queue.length >= MAX_QUEUED_ANSWERS || random() >= shares[group]) return;
    queue.push(answer);
  }

  async function sendQueued(): Promise<void> {
    while (queue.length > 0 && performance.now() >= pausedUntilMs) {
      const answer = queue.shift();
      if (answer === undefined) return;
      const {requestId, kind, model, version} = answer;
      const text = answer.text.slice(0, MAX_ANSWER_CHARACTERS);
      const result = await service.rate({
        requestId,
        kind,
        model,
        version,
        answer: text,
      });
      metrics.count('ratings_sent_total', {status: result.status});
      if (result.status === 'limited') {
        pausedUntilMs = performance.now() + result.retryAfterMs;
      } else {
        rememberSent(answer);
      }
    }
  }

  function rememberSent(answer: RatableAnswer): void {
    sentAnswers.set(answer.requestId, answer);
    if (sentAnswers.size <= MAX_SENT_ANSWERS) return;
    const [oldest] = sentAnswers.keys();
    sentAnswers.delete(oldest);
  }

  async function readRatings(): Promise<void> {
    const page = await service.list(afterSequence);
    afterSequence = page.next;
    for (const rating of page.ratings) {
      const own = sentAnswers.get(rating.requestId);
      const {kind, model, version, score} = rating;
      const checkScore = own?.checkScore;
      options.onRating({kind, model, version, score, checkScore});
      if (own === undefined) continue;
      sentAnswers.delete(rating.requestId);
      options.onOwnRating(rating);
    }
  }

  async function poll(): Promise<void> {
    for (const group of ['candidate', 'other'] as const) {
      const ratePerS = (offeredCounts[group] * MS_PER_S) / POLL_PERIOD_MS;
      requestRatesPerS[group] +=
        RATE_SMOOTHING_WEIGHT * (ratePerS - requestRatesPerS[group]);
      offeredCounts[group] = 0;
    }
    try {
      await sendQueued();
      await readRatings();
    } catch (error) {
      logger.debug('rating_service_failed', {reason: String(error)});
    }
  }

  function schedule(): void {
    if (isStopped) return;
    timer = setTimeout(() => void poll().finally(schedule), POLL_PERIOD_MS);
  }

  schedule();
  return {
    offer,
    stop() {
      isStopped = true;
      clearTimeout(timer);
    },
  };
}
