import type {ByteBudget, MemoryHold} from '@anvilrudder/core';
import type {GatewayContext} from '../gateway_context.js';
import type {HostResources} from '../server/host_resources.js';

/** Memory for a response, or an event, that is being read. */
export interface ResponseAllowance {
  /** Takes memory for so many bytes in all; false if there is none left. */
  tryGrowTo(totalBytes: number): boolean;
  /** As {@link tryGrowTo}, but waits a while for memory where it is shared fairly. */
  growTo(totalBytes: number, signal: AbortSignal): Promise<boolean>;
  /** Releases all of it. */
  release(): void;
  /** True if it is kept until the caller has the response. */
  readonly isKeptUntilRead: boolean;
}

/** Takes what is over a size from a limit for all large responses. */
class LargeResponseAllowance implements ResponseAllowance {
  readonly isKeptUntilRead = true;
  private takenBytes = 0;

  constructor(
    private readonly budget: ByteBudget,
    private readonly freeBytes: number,
  ) {}

  tryGrowTo(totalBytes: number): boolean {
    const neededBytes = Math.max(0, totalBytes - this.freeBytes);
    if (!this.budget.tryTake(neededBytes - this.takenBytes)) return false;
    this.takenBytes = neededBytes;
    return true;
  }

  growTo(totalBytes: number): Promise<boolean> {
    return Promise.resolve(this.tryGrowTo(totalBytes));
  }

  release(): void {
    this.budget.release(this.takenBytes);
    this.takenBytes = 0;
  }
}

/** Servers cut off a response that is not read for longer. */
const MAX_WAIT_MS = 3000;

/** Takes all bytes from the memory of the host. What waits for a caller is counted apart. */
class MemoryAllowance implements ResponseAllowance {
  readonly isKeptUntilRead = false;
  private readonly hold: MemoryHold;

  constructor(
    private readonly resources: HostResources,
    private readonly freeBytes: number,
  ) {
    this.hold = resources.memory.open('running');
  }

  tryGrowTo(totalBytes: number): boolean {
    if (totalBytes <= this.hold.bytes) return true;
    if (this.hold.tryResize(totalBytes)) return true;
    if (totalBytes > this.freeBytes) return false;
    this.hold.resize(totalBytes);
    return true;
  }

  growTo(totalBytes: number, signal: AbortSignal): Promise<boolean> {
    if (totalBytes <= Math.max(this.freeBytes, this.hold.bytes))
      return Promise.resolve(this.tryGrowTo(totalBytes));
    return this.resources.responseQueue.acquire(
      this.hold,
      totalBytes,
      AbortSignal.any([signal, AbortSignal.timeout(MAX_WAIT_MS)]),
    );
  }

  release(): void {
    this.hold.close();
  }
}

/**
 * Creates the allowance of one response.
 *
 * @param freeBytes size up to which it is always granted.
 * @example
 * ```ts
 * const allowance = createResponseAllowance(context, 65_536);
 * allowance.tryGrowTo(100_000);
 * allowance.release();
 * ```
 */
export function createResponseAllowance(
  {resources, largeBodies}: GatewayContext,
  freeBytes: number,
): ResponseAllowance {
  return resources === undefined
    ? new LargeResponseAllowance(largeBodies, freeBytes)
    : new MemoryAllowance(resources, freeBytes);
}
