import type {PromptPart} from './exchange_types.js';

/** Parts remembered for one server at most; the oldest go first. */
const MAX_PARTS = 2000;

/**
 * The prompt parts that this host sent to one server, per model, in the order
 * of their last use. The server drops the least recently used ones too.
 */
export class PartMemory {
  private readonly lastUseMs = new Map<string, number>();

  private constructor() {}

  static create(): PartMemory {
    return new PartMemory();
  }

  /** Notes the parts of a request that the server reads. */
  record(model: string, parts: readonly PromptPart[], nowMs: number): void {
    for (const part of parts) {
      const key = `${model}/${part.id}`;
      this.lastUseMs.delete(key);
      this.lastUseMs.set(key, nowMs);
    }
    while (this.lastUseMs.size > MAX_PARTS) {
      const oldest = this.lastUseMs.keys().next().value;
      if (oldest === undefined) return;
      this.lastUseMs.delete(oldest);
    }
  }

  /** Tokens at the start of a prompt that the server has read before. */
  countKnownTokens(model: string, parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      if (!this.lastUseMs.has(`${model}/${part.id}`)) break;
      tokens += part.tokens;
    }
    return tokens;
  }
}
