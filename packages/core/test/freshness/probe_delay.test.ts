import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRandom, drawProbeDelayMs} from '../../src/index.js';

/** A change has to be in force within 2 s; the rest of it takes under 1 s. */
const MAX_GAP_MS = 1000;
/** The store serves hundreds of reads a second for all purposes. */
const MAX_PROBES_PER_S = 8;
const PLAY_MS = 120_000;
const MESSAGE_DELAY_MS = 20;

interface ProbePlay {
  readonly longestGapMs: number;
  readonly probesPerS: number;
}

/** Plays hosts that tell each other of their probes, without a network. */
function playProbes(
  hostCount: number,
  lossShare: number,
  seed: number,
): ProbePlay {
  const random = createRandom(seed);
  const dueMs = Array.from({length: hostCount}, () =>
    drawProbeDelayMs(hostCount, random),
  );
  const probeTimesMs: number[] = [];
  const deliveries: Array<{readonly atMs: number; readonly from: number}> = [];
  for (let nowMs = 0; nowMs < PLAY_MS; nowMs += 1) {
    while (deliveries[0]?.atMs <= nowMs) {
      const from = deliveries.shift()?.from;
      for (let host = 0; host < hostCount; host += 1) {
        if (host === from || random() < lossShare) continue;
        dueMs[host] = nowMs + drawProbeDelayMs(hostCount, random);
      }
    }
    for (let host = 0; host < hostCount; host += 1) {
      if (dueMs[host] > nowMs) continue;
      probeTimesMs.push(nowMs);
      dueMs[host] = nowMs + drawProbeDelayMs(hostCount, random);
      deliveries.push({atMs: nowMs + MESSAGE_DELAY_MS, from: host});
    }
  }
  const gaps = probeTimesMs.map(
    (timeMs, index) => timeMs - (probeTimesMs[index - 1] ?? 0),
  );
  return {
    longestGapMs: Math.max(...gaps),
    probesPerS: probeTimesMs.length / (PLAY_MS / 1000),
  };
}

for (const hostCount of [1, 2, 4, 12, 28, 77, 300]) {
  for (const lossShare of [0, 0.05]) {
    test(`some of ${hostCount} hosts probes the store each second and few do, ${lossShare * 100} in 100 messages lost`, () => {
      const {longestGapMs, probesPerS} = playProbes(hostCount, lossShare, 7);
      assert.ok(longestGapMs <= MAX_GAP_MS, `${longestGapMs} ms`);
      assert.ok(probesPerS <= MAX_PROBES_PER_S, `${probesPerS} a second`);
    });
  }
}

test('a host that hears of no other probes the store each second', () => {
  const {longestGapMs} = playProbes(300, 1, 7);
  assert.ok(longestGapMs <= MAX_GAP_MS);
});
