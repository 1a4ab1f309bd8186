import {HttpEngineClient, isBackendError} from '@anvilrudder/clients';
import type {LoadOptions} from '../run/load_options.js';
import type {PlannedGeneration} from '../workload/workload.js';
import type {Outcome, RequestObserver, Target} from './target.js';
import {verifyResponse} from './verify_response.js';

const CONNECTIONS_PER_ADDRESS = 4096;

function createFailureOutcome(error: unknown): Outcome {
  if (!isBackendError(error)) throw error;
  const code = error.code ?? `client_${error.failure}`;
  const {execution, tokenCount} = error;
  return {code, execution, tokenCount};
}

/** Sends requests directly to engines, round-robin. */
export class EngineTarget implements Target {
  private roundRobinCounter = 0;

  private constructor(
    private readonly client: HttpEngineClient,
    private readonly options: LoadOptions,
  ) {}

  static create(options: LoadOptions): EngineTarget {
    const {timeoutMs} = options;
    const client = HttpEngineClient.create({
      connectionsPerAddress: CONNECTIONS_PER_ADDRESS,
      firstByteTimeoutMs: timeoutMs,
      idleTimeoutMs: timeoutMs,
    });
    return new EngineTarget(client, options);
  }

  async generate(
    request: PlannedGeneration,
    observer: RequestObserver,
  ): Promise<Outcome> {
    const {model, version, timeoutMs} = this.options;
    const {requestId, prompt, maxTokens} = request;
    const texts: string[] = [];
    const generation = this.client.generate(this.nextAddress(), {
      requestId,
      model,
      version,
      prompt,
      maxTokens,
      priority: 'normal',
      deadlineMs: timeoutMs,
    });
    try {
      for await (const event of generation) {
        if (event.kind === 'done') continue;
        observer.onToken();
        texts.push(event.text);
      }
    } catch (error) {
      return createFailureOutcome(error);
    }
    const source = {requestId, prompt, model, version};
    return {
      code: 'ok',
      execution: 'ran',
      verdict: verifyResponse(source, maxTokens, texts),
      modelVersion: `${model}@${version}`,
      tokenCount: texts.length,
    };
  }

  confirm(): Promise<Outcome> {
    throw new Error('engines do not support service calls');
  }

  close(): Promise<void> {
    return this.client.close();
  }

  private nextAddress(): string {
    const {targets} = this.options;
    this.roundRobinCounter += 1;
    return new URL(targets[this.roundRobinCounter % targets.length]).host;
  }
}
