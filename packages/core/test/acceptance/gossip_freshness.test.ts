import assert from 'node:assert/strict';
import {test} from 'node:test';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {
  ACCEPTANCE_DEFAULTS,
  createAnswer,
  createEntryState,
  createReport,
  resolveServingBasis,
  stepEntry,
  type EntryState,
  type Member,
  type RulesHead,
} from '../../src/index.js';

const SEED = 20261203;
const MEMBER_COUNT = 360;
const WATCHER_COUNT = 3;
const PERIOD_MS = 1_000;
const WARM_ROUNDS = 8;
const MEASURED_ROUNDS = Number(process.env['SPREAD_ROUNDS'] ?? 4);
const {freshnessMs} = ACCEPTANCE_DEFAULTS;

class Deployment {
  readonly entries: EntryState[];
  private readonly random = xoroshiro128plus(SEED);
  private readonly head: RulesHead;
  private round = 0;
  worstConfirmedAgeMs = 0;

  private constructor(private readonly fanout: number) {
    const members = Array.from({length: MEMBER_COUNT}, (_, i): Member => ({
      host: `h${i}`,
      incarnation: '1',
      failureDomain: `d${i % 4}`,
      peerAddress: `h${i}:1`,
    }));
    this.head = {
      sequence: 1,
      rules: {revision: 1, digest: 'r1'},
      members,
      pending: undefined,
      recent: [],
    };
    this.entries = members.map(self => {
      const state = createEntryState(self, ACCEPTANCE_DEFAULTS);
      const loaded = {kind: 'contentLoaded', digest: 'r1'} as const;
      return stepEntry(
        stepEntry(state, loaded, 0).state,
        {kind: 'headLearned', head: this.head},
        0,
      ).state;
    });
  }

  static create(fanout: number): Deployment {
    return new Deployment(fanout);
  }

  /** Each entry asks its peers once, at its own moment of the period. */
  runRound(isStoreUp: boolean): number {
    const startMs = this.round++ * PERIOD_MS;
    const moments = this.entries
      .map((_, index) => ({
        index,
        nowMs: startMs + uniformInt(this.random, 0, PERIOD_MS - 1),
      }))
      .sort((a, b) => a.nowMs - b.nowMs);
    for (const {index, nowMs} of moments) {
      if (isStoreUp && index < WATCHER_COUNT) this.confirm(index, nowMs);
      for (let call = 0; call < this.fanout; call++) this.ask(index, nowMs);
      const {confirmedAtMs} = this.entries[index];
      const ageMs = nowMs - (confirmedAtMs ?? -Infinity);
      if (this.round > WARM_ROUNDS && isStoreUp) {
        this.worstConfirmedAgeMs = Math.max(this.worstConfirmedAgeMs, ageMs);
      }
    }
    return startMs + PERIOD_MS;
  }

  private confirm(index: number, nowMs: number): void {
    const event = {
      kind: 'storeAnswered',
      head: this.head,
      sentAtMs: nowMs,
    } as const;
    this.entries[index] = stepEntry(this.entries[index], event, nowMs).state;
  }

  private ask(index: number, nowMs: number): void {
    const peer = uniformInt(this.random, 0, MEMBER_COUNT - 1);
    if (peer === index) return;
    const request = createReport(this.entries[index], nowMs, {
      hasHead: false,
      hasAges: false,
      isGuestGrant: false,
    });
    const report = createAnswer(this.entries[peer], request, nowMs);
    const event = {kind: 'peerAnswered', report, sentAtMs: nowMs} as const;
    this.entries[index] = stepEntry(this.entries[index], event, nowMs).state;
  }
}

const FANOUT = Number(process.env['SPREAD_FANOUT'] ?? 3);

test('360 members that ask three peers a second keep their right to serve', context => {
  const deployment = Deployment.create(FANOUT);
  const rounds = WARM_ROUNDS + MEASURED_ROUNDS;
  for (let round = 0; round < rounds; round++) deployment.runRound(true);
  let nowMs = 0;
  for (let round = 0; round < rounds; round++) {
    nowMs = deployment.runRound(false);
  }
  const fresh = deployment.entries.map(
    entry =>
      [...entry.heardAtMs.values()].filter(at => nowMs - at < freshnessMs)
        .length,
  );
  const serving = deployment.entries.filter(
    entry => resolveServingBasis(entry, nowMs) === 'peers',
  );
  context.diagnostic(
    `seed ${SEED}, ${FANOUT} peers: oldest confirmation ${deployment.worstConfirmedAgeMs} ms, ` +
      `in an outage each entry hears at least ${Math.min(...fresh)} of ${MEMBER_COUNT}`,
  );
  assert.ok(deployment.worstConfirmedAgeMs < freshnessMs);
  assert.equal(serving.length, MEMBER_COUNT);
});
