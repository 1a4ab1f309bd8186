import type {Execution} from '@anvilrudder/core';
import {delay} from '@anvilrudder/clients';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {generateArrivalTimes, type RandomSource} from '../arrivals/arrivals.js';
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
  fetchExecutionCounts,
  type BookingCheck,
  type ConfirmationRecord,
} from './booking_check.js';
import {findOptionIssues, type LoadOptions} from './load_options.js';
import {createLoadOptionError} from './option_error.js';

/** The report of a load run. */
export interface LoadReport {
  readonly options: LoadOptions;
  readonly elapsedMs: number;
  readonly requestsPerS: number;
  readonly okPerS: number;
  readonly tokensPerS: number;
  /** CPU time of the load tool as a share of one core. */
  readonly cpuShare: number;
  readonly measurement: LoadMeasurement;
  readonly bookingCheck: BookingCheck | undefined;
}

const MS_PER_S = 1000;
const US_PER_MS = 1000;
/**
 * Distance between the seeds for arrivals, requests and sessions, which gives
 * each its own random sequence.
 */
const SEED_STRIDE = 1_000_003;

function createRandomSource(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/**
 * One open-loop run: each request is sent at its intended time, whether or not
 * earlier ones have ended.
 */
class LoadRun {
  private readonly recorder = LoadRecorder.create();
  private readonly inFlight = new Set<Promise<void>>();
  private readonly confirmations: ConfirmationRecord[] = [];
  private readonly workload: Workload;
  private readonly startMs = performance.now();
  private readonly startCpuUsage = process.cpuUsage();

  constructor(
    private readonly options: LoadOptions,
    private readonly target: Target,
  ) {
    const {seed} = options;
    const runId = `load-${seed}-${Date.now().toString(36)}`;
    const random = createRandomSource(seed + SEED_STRIDE);
    this.workload = Workload.create(options, random, runId);
  }

  async run(): Promise<LoadReport> {
    const {options} = this;
    const {arrivals, ratePerS, durationMs, seed} = options;
    const random = createRandomSource(seed);
    for (const intendedMs of generateArrivalTimes(
      arrivals,
      ratePerS,
      durationMs,
      random,
    )) {
      const waitMs = intendedMs - this.nowMs();
      if (waitMs > 0) await delay(waitMs);
      this.send(this.workload.next(), intendedMs);
    }
    await Promise.all(this.inFlight);
    return this.createReport();
  }

  private nowMs(): number {
    return performance.now() - this.startMs;
  }

  private send(request: PlannedRequest, intendedMs: number): void {
    if (this.inFlight.size >= this.options.maxInFlight) {
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
    const tracked = running.finally(() => this.inFlight.delete(tracked));
    this.inFlight.add(tracked);
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
    const cpu = process.cpuUsage(this.startCpuUsage);
    const perS = (count: number) => (count / elapsedMs) * MS_PER_S;
    const {bookingAddress} = options;
    const bookingCheck =
      bookingAddress === undefined
        ? undefined
        : checkBookings(
            confirmations,
            await fetchExecutionCounts(bookingAddress),
          );
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
  const random = createRandomSource(options.seed + 2 * SEED_STRIDE);
  return EntryTarget.create(options, random);
}

/**
 * Sends a load to the targets of the options and waits until every request has
 * ended.
 *
 * @throws LoadOptionError listing the issues of the options.
 * @example
 * ```ts
 * const report = await runLoad({
 *   ...DEFAULT_LOAD_OPTIONS,
 *   targets: ['http://127.0.0.1:8080'],
 * });
 * ```
 */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
  const issues = findOptionIssues(options);
  if (issues.length > 0) throw createLoadOptionError(issues);
  const target = createTarget(options);
  try {
    return await runLoadWithTarget(target, options);
  } finally {
    await target.close();
  }
}

/**
 * Sends a load to a given target and waits until every request has ended. It
 * neither validates the options nor closes the target.
 *
 * @example
 * ```ts
 * const report = await runLoadWithTarget(target, options);
 * ```
 */
export function runLoadWithTarget(
  target: Target,
  options: LoadOptions,
): Promise<LoadReport> {
  return new LoadRun(options, target).run();
}

/**
 * Whether the verdict of every checked response is `whole` and the booking check
 * found no violation.
 */
export function isCorrect(report: LoadReport): boolean {
  const {measurement, bookingCheck} = report;
  const verdicts = Object.keys(measurement.byVerdict);
  if (verdicts.some(verdict => verdict !== 'whole')) return false;
  if (bookingCheck === undefined) return true;
  const {repeated, ranThoughNotRun, missing} = bookingCheck;
  return repeated.length + ranThoughNotRun.length + missing.length === 0;
}
