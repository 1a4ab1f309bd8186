/** A source of numbers in [0, 1). */
export type RandomSource = () => number;

/** How arrivals are spread. */
export type ArrivalProcess = 'poisson' | 'constant';

const MS_PER_S = 1000;

const GAP_BY_PROCESS: Readonly<
  Record<ArrivalProcess, (random: RandomSource) => number>
> = {
  constant: () => 1,
  poisson: random => -Math.log(1 - random()),
};

/**
 * Yields the intended send times of an open loop, in milliseconds from its
 * start, until `durationMs`.
 *
 * @example
 * ```ts
 * [...createArrivals('constant', 10, 300, Math.random)]; // [0, 100, 200]
 * ```
 */
export function* createArrivals(
  process: ArrivalProcess,
  ratePerS: number,
  durationMs: number,
  random: RandomSource,
): Generator<number, void, undefined> {
  const meanGapMs = MS_PER_S / ratePerS;
  let atMs = 0;
  while (atMs < durationMs) {
    yield atMs;
    atMs += GAP_BY_PROCESS[process](random) * meanGapMs;
  }
}
