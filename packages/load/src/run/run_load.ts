import type {Execution} from '@anvilrudder/core';
import {delay} from '@anvilrudder/clients';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createArrivals, type RandomSource} from '../arrivals/arrivals.js';
import {LoadRecorder, type LoadMeasurement} from '../measure/load_recorder.js';
import {EngineTarget} from '../targets/engine_target.js';
import {EntryTarget} from '../targets/entry_target.js';
import type {Target} from '../targets/target.js';
import {
  Workload,
  type PlannedConfirmation,
  type PlannedGeneration,
  type PlannedRequest,
} from '../workload/workload.js';
import {
  checkBookings,
  readExecutions,
  type BookingCheck,
  type ConfirmationRecord,
} from './booking_check.js';
import {findOptionFaults, type LoadOptions} from './load_options.js';
import {createLoadOptionError} from './option_error.js';

/** The outcome of a run. */
export interface LoadReport {
  readonly options: LoadOptions;
  readonly elapsedMs: number;
  readonly requestsPerS: number;
  readonly okPerS: number;
  readonly tokensPerS: number;
  /** Processor time of the tool as a share of one core. */
  readonly cpuShare: number;
  readonly measurement: LoadMeasurement;
  readonly bookingCheck: BookingCheck | undefined;
}

const MS_PER_S = 1000;
const US_PER_MS = 1000;
/** Keeps the draws of arrivals, requests and sessions independent. */
const SEED_STRIDE = 1_000_003;

function createRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** One run: sends each arrival at its time, whatever is still open. */
class LoadRun {
  private readonly recorder = LoadRecorder.create();
  private readonly open = new Set<Promise<void>>();
  private readonly confirmations: ConfirmationRecord[] = [];
  private readonly workload: Workload;
  private readonly startedMs = performance.now();
  private readonly startedCpu = process.cpuUsage();

  constructor(
    private readonly options: LoadOptions,
    private readonly target: Target,
  ) {
    const {seed} = options;
    const runId = `load-${seed}-${Date.now().toString(36)}`;
    const random = createRandom(seed + SEED_STRIDE);
    this.workload = Workload.create(options, random, runId);
  }

  async run(): Promise<LoadReport> {
    const {options} = this;
    const {arrivals, ratePerS, durationMs, seed} = options;
    const random = createRandom(seed);
    for (const atMs of createArrivals(arrivals, ratePerS, durationMs, random)) {
      const waitMs = atMs - this.nowMs();
      if (waitMs > 0) await delay(waitMs);
      this.send(this.workload.next(), atMs);
    }
    await Promise.all(this.open);
    return this.createReport();
  }

  private nowMs(): number {
    return performance.now() - this.startedMs;
  }

  private send(request: PlannedRequest, intendedMs: number): void {
    if (this.open.size >= this.options.maxInFlight) {
      this.recorder.countSkipped();
      return;
    }
    const copies = request.type === 'confirmation' ? request.copies : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.recorder.recordSend(request.kind, intendedMs, this.nowMs());
    }
    const running =
      request.type === 'generation'
        ? this.generate(request, intendedMs)
        : this.confirm(request, intendedMs);
    const tracked = running.finally(() => this.open.delete(tracked));
    this.open.add(tracked);
  }

  private async generate(
    request: PlannedGeneration,
    intendedMs: number,
  ): Promise<void> {
    let lastTokenMs: number | undefined;
    const onToken = () => {
      const nowMs = this.nowMs();
      if (lastTokenMs === undefined) {
        this.recorder.recordFirstToken(nowMs - intendedMs);
      } else this.recorder.recordTokenGap(nowMs - lastTokenMs);
      lastTokenMs = nowMs;
    };
    const outcome = await this.target.generate(request, {onToken});
    const times = {intendedMs, endMs: this.nowMs()};
    this.recorder.recordGeneration(request.requestId, outcome, times);
  }

  private async confirm(
    request: PlannedConfirmation,
    intendedMs: number,
  ): Promise<void> {
    const {idempotencyKey, copies} = request;
    const executions: Execution[] = [];
    const sendCopy = async (): Promise<void> => {
      const outcome = await this.target.confirm(request);
      executions.push(outcome.execution);
      const times = {intendedMs, endMs: this.nowMs()};
      this.recorder.recordConfirmation(outcome, times);
    };
    await Promise.all(Array.from({length: copies}, sendCopy));
    this.confirmations.push({idempotencyKey, executions});
  }

  private async createReport(): Promise<LoadReport> {
    const {options, recorder, confirmations} = this;
    const elapsedMs = this.nowMs();
    const measurement = recorder.measurement();
    const cpu = process.cpuUsage(this.startedCpu);
    const perS = (count: number) => (count / elapsedMs) * MS_PER_S;
    const {bookingAddress} = options;
    const bookingCheck =
      bookingAddress === undefined
        ? undefined
        : checkBookings(confirmations, await readExecutions(bookingAddress));
    return {
      options,
      elapsedMs,
      requestsPerS: perS(measurement.sent),
      okPerS: perS(measurement.ok),
      tokensPerS: perS(measurement.tokens),
      cpuShare: (cpu.user + cpu.system) / US_PER_MS / elapsedMs,
      measurement,
      bookingCheck,
    };
  }
}

function createTarget(options: LoadOptions): Target {
  if (options.isDirect) return EngineTarget.create(options);
  const random = createRandom(options.seed + 2 * SEED_STRIDE);
  return EntryTarget.create(options, random);
}

/**
 * Sends a load and waits until each request has ended.
 *
 * @throws LoadOptionError listing the faults of the options.
 * @example
 * ```ts
 * const report = await runLoad({
 *   ...DEFAULT_LOAD_OPTIONS,
 *   targets: ['http://127.0.0.1:8080'],
 * });
 * ```
 */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
  const faults = findOptionFaults(options);
  if (faults.length > 0) throw createLoadOptionError(faults);
  const target = createTarget(options);
  try {
    return await runLoadOn(target, options);
  } finally {
    await target.close();
  }
}

/**
 * Sends a load to any target, as {@link runLoad}.
 *
 * @example
 * ```ts
 * const report = await runLoadOn(target, options);
 * ```
 */
export function runLoadOn(
  target: Target,
  options: LoadOptions,
): Promise<LoadReport> {
  return new LoadRun(options, target).run();
}

/** True when each answer was whole and its own and no booking contradicts. */
export function isCorrect(report: LoadReport): boolean {
  const {measurement, bookingCheck} = report;
  const verdicts = Object.keys(measurement.byVerdict);
  if (verdicts.some(verdict => verdict !== 'whole')) return false;
  if (bookingCheck === undefined) return true;
  const {repeated, ranThoughNotRun, missing} = bookingCheck;
  return repeated.length + ranThoughNotRun.length + missing.length === 0;
}
