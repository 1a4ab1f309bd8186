import type {RandomSource} from '../arrivals/arrivals.js';
import type {KindShare, LoadOptions} from '../run/load_options.js';

/** A generation to send. */
export interface PlannedGeneration {
  readonly type: 'generation';
  /** Names the request in reports, and at engines when they are called directly. */
  readonly requestId: string;
  readonly kind: string;
  readonly apiKey: string;
  /** Differs from that of any other request. */
  readonly prompt: string;
  readonly maxTokens: number;
  /** True when the request goes on with an open session of its API key. */
  readonly wantsSession: boolean;
}

/** A call of a plain service to send, `copies` times with one key. */
export interface PlannedConfirmation {
  readonly type: 'confirmation';
  readonly kind: string;
  readonly apiKey: string;
  readonly idempotencyKey: string;
  readonly copies: number;
}

/** What an arrival sends. */
export type PlannedRequest = PlannedGeneration | PlannedConfirmation;

/** Draws the requests of a run; the same seed draws the same ones. */
export class Workload {
  private count = 0;
  private readonly totalWeight: number;

  private constructor(
    private readonly options: LoadOptions,
    private readonly random: RandomSource,
    private readonly runId: string,
  ) {
    this.totalWeight = options.kinds.reduce((sum, k) => sum + k.weight, 0);
  }

  /** @param runId keeps request ids of two runs apart; it holds no dot. */
  static create(
    options: LoadOptions,
    random: RandomSource,
    runId: string,
  ): Workload {
    return new Workload(options, random, runId);
  }

  /** Draws the next request. */
  next(): PlannedRequest {
    this.count += 1;
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
      idempotencyKey: `${this.runId}-${this.count}`,
      copies: this.random() < repeatShare ? 2 : 1,
    };
  }

  private planGeneration(apiKey: string): PlannedGeneration {
    const {maxTokens, sessionShare} = this.options;
    const {kind} = this.drawKind();
    const requestId = `${this.runId}-${this.count}`;
    return {
      type: 'generation',
      requestId,
      kind,
      apiKey,
      prompt: this.createPrompt(kind, requestId),
      maxTokens,
      wantsSession: this.random() < sessionShare,
    };
  }

  private drawKind(): KindShare {
    const {kinds} = this.options;
    let rest = this.random() * this.totalWeight;
    const drawn = kinds.find(share => (rest -= share.weight) < 0);
    return drawn ?? kinds[kinds.length - 1];
  }

  private createPrompt(kind: string, requestId: string): string {
    const half = Math.floor(this.options.promptCharacters / 2);
    const shared = `${kind} `.repeat(half).slice(0, half);
    const own = `${requestId} `.repeat(half).slice(0, half);
    return shared + own;
  }
}
