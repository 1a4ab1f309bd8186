import type {RandomSource} from '../arrivals/arrivals.js';
import type {KindWeight, LoadOptions} from '../run/load_options.js';

/** A generation request to send. */
export interface PlannedGeneration {
  readonly type: 'generation';
  /** Identifies the request in reports, and to engines called directly. */
  readonly requestId: string;
  readonly kind: string;
  readonly apiKey: string;
  /** Differs from the prompt of every other request. */
  readonly prompt: string;
  readonly maxTokens: number;
  /** Whether to continue an open session of the API key and kind, if any. */
  readonly continuesSession: boolean;
}

/** A service call to send `copies` times with the same idempotency key. */
export interface PlannedConfirmation {
  readonly type: 'confirmation';
  /** Name of the service. */
  readonly kind: string;
  readonly apiKey: string;
  readonly idempotencyKey: string;
  readonly copies: number;
}

/** A request to send at one arrival. */
export type PlannedRequest = PlannedGeneration | PlannedConfirmation;

/**
 * Generates the requests of a run. The same options, random sequence and run id
 * give the same requests.
 */
export class Workload {
  private requestCount = 0;
  private readonly totalWeight: number;

  private constructor(
    private readonly options: LoadOptions,
    private readonly random: RandomSource,
    private readonly runId: string,
  ) {
    this.totalWeight = options.kinds.reduce((sum, k) => sum + k.weight, 0);
  }

  /**
   * @param runId prefix of request ids, unique to the run. It must not contain a
   *   dot, because a dot separates the attempt number in ids at engines.
   */
  static create(
    options: LoadOptions,
    random: RandomSource,
    runId: string,
  ): Workload {
    return new Workload(options, random, runId);
  }

  /** Generates the next request. */
  next(): PlannedRequest {
    this.requestCount += 1;
    const {callerKeys, confirmShare} = this.options;
    const apiKey = callerKeys[Math.floor(this.random() * callerKeys.length)];
    return this.random() < confirmShare
      ? this.planConfirmation(apiKey)
      : this.planGeneration(apiKey);
  }

  private planConfirmation(apiKey: string): PlannedConfirmation {
    const {service, repeatShare} = this.options;
    return {
      type: 'confirmation',
      kind: service,
      apiKey,
      idempotencyKey: `${this.runId}-${this.requestCount}`,
      copies: this.random() < repeatShare ? 2 : 1,
    };
  }

  private planGeneration(apiKey: string): PlannedGeneration {
    const {maxTokens, sessionShare} = this.options;
    const {kind} = this.drawKind();
    const requestId = `${this.runId}-${this.requestCount}`;
    return {
      type: 'generation',
      requestId,
      kind,
      apiKey,
      prompt: this.createPrompt(kind, requestId),
      maxTokens,
      continuesSession: this.random() < sessionShare,
    };
  }

  private drawKind(): KindWeight {
    const {kinds} = this.options;
    let remainingWeight = this.random() * this.totalWeight;
    const drawn = kinds.find(k => (remainingWeight -= k.weight) < 0);
    return drawn ?? kinds[kinds.length - 1];
  }

  private createPrompt(kind: string, requestId: string): string {
    const half = Math.floor(this.options.promptCharacters / 2);
    const sharedPart = `${kind} `.repeat(half).slice(0, half);
    const uniquePart = `${requestId} `.repeat(half).slice(0, half);
    return sharedPart + uniquePart;
  }
}
