import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
  chooseServer,
  createRandom,
  ServerTable,
  type GenerationDemand,
  type Random,
} from '../../src/index.js';

const HOST_COUNT = 60;
const SERVER_COUNT = 60;
const SLOTS = 16;
const REQUESTS_PER_S = 560;
const DURATION_MS = 6000;
const PREFIX_COUNT = 150;
const PREFILL_MS_PER_TOKEN = 0.02;
const DECODE_MS = 1200;
const LATENCY_TARGET_MS = 2000;
/** Share of the requests that must meet the latency target. */
const MIN_ON_TIME_SHARE = 0.95;
const SHORT_SHARE = 0.4;

/** What the hosts tell each other about the requests that they send. */
interface Announcements {
  /** Shorter prefills are not announced. */
  readonly minWorkMs: number;
  readonly recipients: number;
}

/** A server that prefills one prompt at a time and holds a slot per request. */
class ModelServer {
  private prefillEndMs = 0;
  private readonly slotEndsMs: number[] = [];

  /** Returns the time to the first event of a request that arrives now. */
  serve(workMs: number, nowMs: number): number {
    const slotMs = this.takeSlot(nowMs);
    this.prefillEndMs = Math.max(this.prefillEndMs, slotMs) + workMs;
    this.slotEndsMs.push(this.prefillEndMs + DECODE_MS);
    return this.prefillEndMs - nowMs;
  }

  private takeSlot(nowMs: number): number {
    this.slotEndsMs.sort((a, b) => a - b);
    while (this.slotEndsMs[0] <= nowMs) this.slotEndsMs.shift();
    if (this.slotEndsMs.length < SLOTS) return nowMs;
    return this.slotEndsMs.splice(0, 1)[0];
  }
}

function createDemand(random: Random, index: number): GenerationDemand {
  const isShort = random() < SHORT_SHARE;
  // Low numbers are drawn more often, so that some prefixes are hot.
  const prefix = Math.floor(random() ** 2 * PREFIX_COUNT);
  const sharedTokens = isShort ? 350 : 10_000;
  const ownTokens = isShort ? 800 : 3000;
  return {
    model: undefined,
    promptTokens: sharedTokens + ownTokens,
    maxOutputTokens: 50,
    parts: [
      {id: `${isShort ? 's' : 'l'}${prefix}`, tokens: sharedTokens},
      {id: `own-${index}`, tokens: ownTokens},
    ],
  };
}

function createTable(): ServerTable {
  const table = ServerTable.create();
  for (let index = 0; index < SERVER_COUNT; index += 1) {
    table.put({
      id: `i-${index}`,
      service: 'engine',
      address: `10.0.0.${index}:80`,
      failureDomain: 'a',
      softwareVersion: 'v1',
      slots: SLOTS,
      isLeaving: false,
    });
  }
  return table;
}

/**
 * Plays the load of many hosts before servers with few slots, and returns the
 * share of requests whose first event comes within the latency target.
 */
function playLoad({minWorkMs, recipients}: Announcements): number {
  const random = createRandom(7);
  const tables = Array.from({length: HOST_COUNT}, createTable);
  const servers = new Map(
    tables[0].listIds().map(id => [id, new ModelServer()]),
  );
  const ends: Array<{readonly atMs: number; readonly end: () => void}> = [];
  const count = (REQUESTS_PER_S * DURATION_MS) / 1000;
  let onTime = 0;
  for (let index = 0; index < count; index += 1) {
    const nowMs = (index * 1000) / REQUESTS_PER_S;
    for (const {atMs, end} of ends.splice(0)) {
      if (atMs <= nowMs) end();
      else ends.push({atMs, end});
    }
    const host = Math.floor(random() * HOST_COUNT);
    const table = tables[host];
    const demand = createDemand(random, index);
    const choice = chooseServer({
      candidates: table.list('engine'),
      failureDomain: 'a',
      hostCount: HOST_COUNT,
      crossDomainCostMs: 5,
      generation: {model: 'm', demand, prefillMsPerToken: PREFILL_MS_PER_TOKEN},
      nowMs,
      random,
    });
    assert.ok(choice);
    const {record, workMs} = choice;
    const serverId = record.server.id;
    const firstEventMs = servers.get(serverId)?.serve(workMs, nowMs) ?? 0;
    if (firstEventMs <= LATENCY_TARGET_MS) onTime += 1;
    const send = table.begin(serverId, workMs, 'm', demand, nowMs);
    assert.ok(send);
    const endMs = nowMs + firstEventMs + DECODE_MS;
    ends.push({
      atMs: nowMs + firstEventMs,
      end: () => table.markAnswering(send),
    });
    ends.push({atMs: endMs, end: () => table.end(send, 'answered', endMs)});
    if (workMs < minWorkMs) continue;
    const work = {serverId, workMs, model: 'm', parts: demand.parts};
    const first = 1 + Math.floor(random() * HOST_COUNT);
    for (let offset = 0; offset < recipients; offset += 1) {
      const receiver = host + 1 + ((first + offset) % (HOST_COUNT - 1));
      tables[receiver % HOST_COUNT].recordRemoteWork(work, nowMs);
    }
  }
  return onTime / count;
}

test('60 hosts that hear of all requests keep the latency target before servers with 16 slots', () => {
  const onTimeShare = playLoad({minWorkMs: 0, recipients: HOST_COUNT - 1});
  assert.ok(onTimeShare >= MIN_ON_TIME_SHARE, `on time: ${onTimeShare}`);
});

test('60 hosts that hear of a third of the requests keep the latency target', () => {
  const onTimeShare = playLoad({minWorkMs: 0, recipients: 20});
  assert.ok(onTimeShare >= MIN_ON_TIME_SHARE, `on time: ${onTimeShare}`);
});

test('hosts that are told of long prefills alone miss the latency target', () => {
  const onTimeShare = playLoad({minWorkMs: 40, recipients: HOST_COUNT - 1});
  assert.ok(onTimeShare < MIN_ON_TIME_SHARE, `on time: ${onTimeShare}`);
});
