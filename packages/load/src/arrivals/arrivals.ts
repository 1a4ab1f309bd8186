/** Returns uniformly distributed numbers in [0, 1). */
export type RandomSource = () => number;

/** Distribution of the gaps between arrivals. */
export type ArrivalProcess = 'poisson' | 'constant';

const MS_PER_S = 1000;

/** Functions that draw a gap, as a multiple of the mean gap. */
const RELATIVE_GAP_BY_PROCESS: Readonly<
  Record<ArrivalProcess, (random: RandomSource) => number>
> = {
  constant: () => 1,
  poisson: random => -Math.log(1 - random()),
};

/**
 * Yields the intended send times of an open-loop load, in milliseconds from
 * the start of the run. All of them are below `durationMs`.
 *
 * @example
 * ```ts
 * [...generateArrivalTimes('constant', 10, 300, Math.random)]; // [0, 100, 200]
 * ```
 */
export function* generateArrivalTimes(
  process: ArrivalProcess,
  ratePerS: number,
  durationMs: number,
  random: RandomSource,
): Generator<number, void, undefined> {
  const meanInterarrivalMs = MS_PER_S / ratePerS;
  let atMs = 0;
  while (atMs < durationMs) {
    yield atMs;
    atMs += RELATIVE_GAP_BY_PROCESS[process](random) * meanInterarrivalMs;
  }
}
