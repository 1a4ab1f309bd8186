import {
  addGrantedToken,
  grantSlowStartToken,
  TOKEN_VALIDITY_MS,
  type Random,
  type RegisteredServer,
  type ServerTable,
} from '@anvilrudder/core';
import type {MetricRegistry} from '@anvilrudder/observability';
import type {ColdServer} from './slow_starts.js';
import type {TokenMessage} from './token_message.js';

/** Dependencies of {@link ColdTokens}. */
export interface ColdTokensOptions {
  readonly servers: ServerTable;
  readonly listCold: (service: string) => readonly ColdServer[];
  /** Sends a message to one of the other hosts. */
  readonly send: (address: string, message: TokenMessage) => void;
  readonly metrics: MetricRegistry;
  readonly random: Random;
  /** Runs a function after a time. Default: the timer of the runtime. */
  readonly setTimer?: (run: () => void, delayMs: number) => void;
}

/** A message to another host that is not answered yet. */
interface PendingAsk {
  readonly server: RegisteredServer;
  readonly address: string;
  readonly askedMs: number;
  /** Called with whether a token was granted. */
  readonly onEnd: (isGranted: boolean) => void;
}

/** A host that may have a token of a server. */
interface TokenSource {
  readonly server: RegisteredServer;
  readonly address: string;
}

const COUNTER_BY_KIND = {
  grant: 'cold_tokens_granted_total',
  refuse: 'cold_tokens_refused_total',
} as const;
/** Hosts answer within some milliseconds; later, the message is lost. */
const REPLY_TIMEOUT_MS = 25;
/** Hosts that are asked for one request. */
const MAX_ASKS = 3;
/** Hosts that are drawn in search of one that may have a token. */
const MAX_DRAWS = 12;
const MAX_EMPTY = 2000;
/** Messages of one host, so that a flood of requests doesn't become one of them. */
const MAX_ASKS_PER_S = 200;
const MS_PER_S = 1000;
/** A host without a share gets one only by a change of the host list. */
const NO_SHARE_WAIT_MS = 2000;
/** A host that didn't answer is not asked for this time. */
const SILENT_WAIT_MS = 1000;

/**
 * Moves tokens of the rate of cold servers to hosts that have a request and no
 * token. A host subtracts a token from its own share before it grants it, and the
 * other host uses it only for a short time after its request, so that lost, delayed
 * and repeated messages lose tokens and never add any.
 */
export class ColdTokens {
  private readonly pending = new Map<number, PendingAsk>();
  /** Hosts that have no token of a server before a time. */
  private readonly emptyUntilMs = new Map<string, number>();
  private lastAskId = 0;
  private nextAskMs = -Infinity;
  private readonly setTimer: (run: () => void, delayMs: number) => void;

  private constructor(private readonly options: ColdTokensOptions) {
    this.setTimer =
      options.setTimer ?? ((run, delayMs) => void setTimeout(run, delayMs));
  }

  /**
   * @example
   * ```ts
   * const tokens = ColdTokens.create(options);
   * const isGranted = await tokens.obtain('engine');
   * ```
   */
  static create(options: ColdTokensOptions): ColdTokens {
    return new ColdTokens(options);
  }

  /** Asks other hosts for a token of a cold server; false if none grants one. */
  obtain(service: string): Promise<boolean> {
    return new Promise(resolve => this.request(service, resolve));
  }

  /**
   * Asks other hosts for a token of a cold server of a service.
   *
   * @param onEnd called with whether one was granted, perhaps at once.
   */
  request(service: string, onEnd: (isGranted: boolean) => void): void {
    this.ask(service, MAX_ASKS, onEnd);
  }

  /** Handles a message of another host. */
  receive(message: TokenMessage, sender: string): void {
    if (message.kind === 'ask') {
      this.answer(message, sender);
      return;
    }
    const ask = this.pending.get(message.askId);
    if (ask?.address !== sender) return;
    this.pending.delete(message.askId);
    this.markEmpty(ask, Math.min(message.waitMs ?? Infinity, NO_SHARE_WAIT_MS));
    ask.onEnd(message.kind === 'grant' && this.take(ask));
  }

  private ask(
    service: string,
    triesLeft: number,
    onEnd: (isGranted: boolean) => void,
  ): void {
    const nowMs = performance.now();
    const source =
      triesLeft > 0 ? this.chooseSource(service, nowMs) : undefined;
    if (source === undefined || nowMs < this.nextAskMs) {
      onEnd(false);
      return;
    }
    const {server, address} = source;
    const earliestMs = nowMs - (MS_PER_S / MAX_ASKS_PER_S) * MAX_ASKS;
    this.nextAskMs =
      Math.max(this.nextAskMs, earliestMs) + MS_PER_S / MAX_ASKS_PER_S;
    const askId = (this.lastAskId += 1);
    this.pending.set(askId, {
      server,
      address,
      askedMs: nowMs,
      onEnd: isGranted => {
        if (isGranted) onEnd(true);
        else this.ask(service, triesLeft - 1, onEnd);
      },
    });
    this.setTimer(() => this.expire(askId), REPLY_TIMEOUT_MS);
    this.options.metrics.count('cold_tokens_requested_total');
    this.options.send(address, {
      kind: 'ask',
      askId,
      serverId: server.id,
      startedAtMs: server.startedAtMs,
    });
  }

  private chooseSource(
    service: string,
    nowMs: number,
  ): TokenSource | undefined {
    const cold = this.options.listCold(service);
    if (cold.length === 0) return undefined;
    for (let draw = 0; draw < MAX_DRAWS; draw += 1) {
      const {server, senders} = this.pick(cold);
      if (senders.length === 0) continue;
      const address = this.pick(senders);
      const emptyUntilMs = this.emptyUntilMs.get(createKey(server, address));
      if (nowMs >= (emptyUntilMs ?? 0)) return {server, address};
    }
    return undefined;
  }

  private pick<T>(list: readonly T[]): T {
    return list[Math.floor(this.options.random() * list.length)];
  }

  private answer(
    {askId, serverId, startedAtMs}: Extract<TokenMessage, {kind: 'ask'}>,
    sender: string,
  ): void {
    const {servers, send, metrics} = this.options;
    const nowMs = performance.now();
    const record = servers.find(serverId);
    const known = record?.availability.slowStart;
    const isSameRun = record?.server.startedAtMs === startedAtMs;
    if (record === undefined || known === undefined || !isSameRun) {
      metrics.count(COUNTER_BY_KIND.refuse);
      send(sender, {kind: 'refuse', askId, waitMs: undefined});
      return;
    }
    const next = grantSlowStartToken(known, nowMs);
    if (next !== undefined) servers.setSlowStart(record.server, next);
    const kind = next === undefined ? 'refuse' : 'grant';
    const {intervalMs, nextDueMs} = next ?? known;
    const waitMs =
      intervalMs === Infinity ? undefined : Math.max(0, nextDueMs - nowMs);
    metrics.count(COUNTER_BY_KIND[kind]);
    send(sender, {kind, askId, waitMs});
  }

  /** Takes a granted token; false if its time has passed. */
  private take({server, askedMs}: PendingAsk): boolean {
    const {servers} = this.options;
    const nowMs = performance.now();
    const untilMs = askedMs + TOKEN_VALIDITY_MS;
    const slowStart = servers.find(server.id)?.availability.slowStart;
    if (slowStart === undefined || nowMs >= untilMs) return false;
    servers.setSlowStart(server, addGrantedToken(slowStart, untilMs, nowMs));
    return true;
  }

  private expire(askId: number): void {
    const ask = this.pending.get(askId);
    if (ask === undefined) return;
    this.pending.delete(askId);
    this.markEmpty(ask, SILENT_WAIT_MS);
    ask.onEnd(false);
  }

  private markEmpty({server, address}: PendingAsk, waitMs: number): void {
    const nowMs = performance.now();
    if (this.emptyUntilMs.size >= MAX_EMPTY) this.emptyUntilMs.clear();
    this.emptyUntilMs.set(createKey(server, address), nowMs + waitMs);
  }
}

function createKey({id}: RegisteredServer, address: string): string {
  return `${id}/${address}`;
}
