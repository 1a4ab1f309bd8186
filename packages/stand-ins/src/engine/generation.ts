import type {ServerResponse} from 'node:http';
import {
  setImmediate as nextEventLoopTurn,
  setTimeout as sleep,
} from 'node:timers/promises';
import {cutConnection, sendJson} from '../http/http_server.js';
import {hashToUnitInterval} from '../utils/hash.js';
import type {EngineCounterState} from './engine_counter_state.js';
import type {EngineFaultState} from './engine_fault_state.js';
import type {GenerateBody, ResolvedEngineOptions} from './engine_types.js';
import {
  PREFIX_BLOCK_CHARACTERS,
  createPrefixHashes,
  type PrefixCache,
} from './prefix_cache.js';
import type {EnginePriority, SlotQueue, WaitingRequest} from './slot_queue.js';
import {countPromptTokens, createTokenFormatter} from './tokens.js';

/** Settings and state of an engine that its generations share. */
export interface GenerationContext {
  readonly options: ResolvedEngineOptions;
  readonly queue: SlotQueue;
  readonly cache: PrefixCache;
  readonly faults: EngineFaultState;
  readonly counters: EngineCounterState;
}

/** Tokens written without a delay before the event loop gets a turn. */
const TOKENS_PER_EVENT_LOOP_TURN = 16;

/** Width of the range around the mean confidence of a version. */
const CONFIDENCE_SPREAD = 0.4;

function formatEvent(name: string, data: unknown): string {
  return `event: ${name}\ndata: ${JSON.stringify(data)}\n\n`;
}

/** A generation that waits in the queue or runs in a slot. */
export class Generation implements WaitingRequest {
  readonly priority: EnginePriority;
  private readonly abort = new AbortController();
  private isStarted = false;
  private deadlineTimer: NodeJS.Timeout | undefined;

  private constructor(
    private readonly context: GenerationContext,
    private readonly body: GenerateBody,
    private readonly response: ServerResponse,
    private readonly onEnd: () => void,
  ) {
    this.priority = body.priority;
  }

  /** Queues a generation; `onEnd` is called once when it ends. */
  static create(
    context: GenerationContext,
    body: GenerateBody,
    response: ServerResponse,
    onEnd: () => void,
  ): Generation {
    const generation = new Generation(context, body, response, onEnd);
    response.once('close', () => generation.cancel('closed'));
    generation.enqueue();
    return generation;
  }

  start(): void {
    this.isStarted = true;
    clearTimeout(this.deadlineTimer);
    void this.run().finally(() => {
      this.context.queue.release();
      this.onEnd();
    });
  }

  /** Aborts the generation; returns false if it has already ended. */
  cancel(code: 'cancelled' | 'deadline_passed' | 'closed'): boolean {
    if (this.abort.signal.aborted) return false;
    clearTimeout(this.deadlineTimer);
    this.abort.abort(code);
    if (this.isStarted) return true;
    if (!this.context.queue.remove(this)) return false;
    const status = code === 'deadline_passed' ? 503 : 409;
    sendJson(this.response, status, {code});
    this.onEnd();
    return true;
  }

  private enqueue(): void {
    const {deadlineMs} = this.body;
    if (deadlineMs > 0) {
      this.deadlineTimer = setTimeout(
        () => this.cancel('deadline_passed'),
        deadlineMs,
      );
    }
    this.context.queue.add(this);
  }

  private async run(): Promise<void> {
    const {body, context, response} = this;
    const {requestId, model, version, resumeFromToken = 0} = body;
    context.counters.countStart(
      requestId,
      `${model}@${version}`,
      resumeFromToken,
    );
    try {
      const cachedPromptTokens = await this.prefill();
      response.writeHead(200, {'content-type': 'text/event-stream'});
      response.flushHeaders();
      await this.writeTokens(cachedPromptTokens);
    } catch (error) {
      if (!this.abort.signal.aborted) throw error;
      const code = String(this.abort.signal.reason);
      if (response.headersSent)
        this.endWithEvent('error', {code, message: code});
      else sendJson(response, 500, {code, message: code});
    } finally {
      this.abort.abort('ended');
    }
  }

  private async prefill(): Promise<number> {
    const {model, version, prompt} = this.body;
    const {cache, options} = this.context;
    const hashes = createPrefixHashes(model, version, prompt);
    const cachedBlocks = cache.touch(hashes);
    const cachedCharacters = cachedBlocks * PREFIX_BLOCK_CHARACTERS;
    const uncachedShare = 1 - cachedCharacters / Math.max(prompt.length, 1);
    await this.wait(options.prefillDelayMs * uncachedShare);
    return countPromptTokens(prompt.slice(0, cachedCharacters));
  }

  private async writeTokens(cachedPromptTokens: number): Promise<void> {
    const {faults} = this.context;
    const {maxTokens, prompt, resumeFromToken = 0} = this.body;
    const formatToken = createTokenFormatter(this.body);
    const cutAt = faults.consumeCut();
    const failAt = faults.shouldFailNext()
      ? Math.floor(maxTokens / 2)
      : undefined;
    for (let index = resumeFromToken; index < maxTokens; index += 1) {
      if (index > resumeFromToken) await this.waitForToken(index);
      if (index - resumeFromToken === cutAt) return this.cutStream();
      if (index === failAt) return this.failStream();
      this.writeToken(index, formatToken(index));
    }
    if (cutAt !== undefined) return this.cutStream();
    this.endWithEvent('done', {
      tokenCount: maxTokens,
      promptTokens: countPromptTokens(prompt),
      cachedPromptTokens,
      confidence: this.resolveConfidence(),
    });
  }

  // Confidences are uniform around the mean of the version. The offset is a
  // hash of the request id, so a request always reports the same confidence.
  private resolveConfidence(): number | undefined {
    const {requestId, model, version} = this.body;
    const mean = this.context.options.confidence[`${model}@${version}`];
    if (mean === undefined) return undefined;
    const offset = (hashToUnitInterval(requestId) - 0.5) * CONFIDENCE_SPREAD;
    return Math.min(1, Math.max(0, mean + offset));
  }

  private writeToken(index: number, text: string): void {
    const {duplicateTokens, skipToken} = this.context.faults.current;
    if (index === skipToken) return;
    const event = formatEvent('token', {index, text});
    this.response.write(duplicateTokens ? event + event : event);
    this.context.counters.tokens += 1;
  }

  private async waitForToken(index: number): Promise<void> {
    const {tokenDelayMs} = this.context.faults.current;
    const delayMs = tokenDelayMs ?? this.context.options.tokenDelayMs;
    if (delayMs > 0) await this.wait(delayMs);
    else if (index % TOKENS_PER_EVENT_LOOP_TURN === 0)
      await nextEventLoopTurn();
    this.abort.signal.throwIfAborted();
  }

  private async wait(delayMs: number): Promise<void> {
    if (delayMs <= 0) return;
    await sleep(delayMs, undefined, {signal: this.abort.signal});
  }

  private cutStream(): void {
    cutConnection(this.response);
  }

  private failStream(): void {
    this.endWithEvent('error', {
      code: 'failed',
      message: 'The generation failed.',
    });
  }

  private endWithEvent(name: string, data: unknown): void {
    this.response.end(formatEvent(name, data));
  }
}
