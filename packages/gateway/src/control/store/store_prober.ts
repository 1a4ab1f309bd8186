import {
  delay,
  findNewestChange,
  isObjectStoreError,
} from '@anvilrudder/clients';
import {
  drawProbeDelayMs,
  type ObjectStore,
  type Random,
} from '@anvilrudder/core';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import type {StoreProbe} from './store_probe.js';
import type {StoreVersionTracker} from './store_version_tracker.js';

/** The hosts that probe the same store. */
export interface ProbingHosts {
  /** Number of known hosts, including this one. */
  readonly count: number;
  /** False while most of them may be unknown. */
  readonly hasHostList: boolean;
}

/** Dependencies of {@link StoreProber}. */
export interface StoreProberOptions {
  readonly store: ObjectStore;
  /** Key prefix of a kind with few objects, to read the store's version. */
  readonly smallPrefix: string;
  readonly versionTracker: StoreVersionTracker;
  readonly hosts: ProbingHosts;
  /** Tells all other hosts what a probe has shown. */
  readonly announce: (probe: StoreProbe) => void;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
  readonly random: Random;
}

/** Sorts after all names, so that a list from there is empty. */
const AFTER_ALL_NAMES = '~~~~';
/** A probe that takes longer is given up. */
const PROBE_TIMEOUT_MS = 700;
/** The store returns what has changed so far at once. */
const NO_WAIT_MS = 1;
/** Probes are rarer while each host still believes to be alone. */
const UNKNOWN_HOSTS_FACTOR = 3;
const FAILURE_FACTOR = 3;
/** The list of hosts may arrive meanwhile. */
const MAX_SLEEP_MS = 400;

/**
 * Probes the store for changes that the watches of this host should have
 * delivered. A watch that waits on a silent connection hears nothing and fails
 * only after its wait, which is longer than a change may take. One of all hosts
 * probes at a time, on connections of its own, and tells the others. A host that
 * hears of no probe makes one itself, so that it depends on no other host.
 */
export class StoreProber {
  private postponedMs = 0;
  /** Time from the last probe to the next one of this host. */
  private delayMs = 0;
  /** Version up to which all changes are known, by probes. */
  private checkedVersion = 0;
  private era: number | undefined;

  private constructor(private readonly options: StoreProberOptions) {}

  /**
   * @example
   * ```ts
   * const prober = StoreProber.create(options);
   * await prober.run(signal);
   * ```
   */
  static create(options: StoreProberOptions): StoreProber {
    return new StoreProber(options);
  }

  /** Probes until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    this.postpone(1);
    while (!signal.aborted) {
      const waitMs = this.computeWaitMs();
      if (waitMs > 0) {
        await delay(Math.min(waitMs, MAX_SLEEP_MS), signal);
        continue;
      }
      try {
        const probe = await this.probe();
        this.postpone(1);
        if (probe !== undefined && !signal.aborted)
          this.options.announce(probe);
      } catch (error) {
        if (!isObjectStoreError(error)) throw error;
        this.options.metrics.count('store_probes_failed_total');
        this.postpone(FAILURE_FACTOR);
      }
    }
  }

  /** Uses what a probe of another host has shown. */
  receive({era, checkedVersion, known}: StoreProbe): void {
    const {versionTracker} = this.options;
    for (const [kind, version] of known)
      versionTracker.recordRemoteVersion({kind, version, era});
    if (era !== versionTracker.era) return;
    this.resetInNewEra();
    this.checkedVersion = Math.max(this.checkedVersion, checkedVersion);
    this.postpone(1);
  }

  /** Returns what is known now; undefined before the first lists. */
  private async probe(): Promise<StoreProbe | undefined> {
    const {store, smallPrefix, versionTracker, metrics} = this.options;
    const {kindNames} = versionTracker;
    if (!kindNames.every(kind => versionTracker.getReached(kind) > 0))
      return undefined;
    metrics.count('store_probes_total');
    const {storeVersion} = await store.list(smallPrefix, AFTER_ALL_NAMES, {
      timeoutMs: PROBE_TIMEOUT_MS,
    });
    this.resetInNewEra();
    const era = versionTracker.era;
    if (storeVersion > this.checkedVersion) {
      const versions = await Promise.all(
        kindNames.map(kind => this.probeKind(kind, storeVersion)),
      );
      if (versionTracker.era !== era) return undefined;
      const checkedVersion = Math.min(storeVersion, ...versions);
      this.checkedVersion = Math.max(this.checkedVersion, checkedVersion);
    }
    return {
      era,
      checkedVersion: this.checkedVersion,
      known: versionTracker.listKnown(),
    };
  }

  /** Returns the version up to which all changes of the kind are known. */
  private async probeKind(kind: string, storeVersion: number): Promise<number> {
    const {store, versionTracker, logger} = this.options;
    const fromVersion = Math.max(
      this.checkedVersion,
      versionTracker.getReached(kind),
    );
    if (fromVersion >= storeVersion) return storeVersion;
    try {
      const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
      const page = await store.watch(kind, fromVersion, NO_WAIT_MS, signal);
      // Before the first check the hosts have come to different versions, so
      // only the latest possible version of a removal binds all of them.
      const newestChange = findNewestChange(
        page.events,
        fromVersion,
        this.checkedVersion === 0 ? page.storeVersion : undefined,
      );
      if (newestChange !== undefined)
        versionTracker.recordProbed(kind, newestChange);
      return page.storeVersion;
    } catch (error) {
      if (!isObjectStoreError(error) || error.failure !== 'historyGone')
        throw error;
      // What has changed can't be told any more, so all of it is listed.
      logger.info('probe_without_history', {kind, version: fromVersion});
      versionTracker.restart(kind);
      return storeVersion;
    }
  }

  /** Versions of two eras cannot be compared. */
  private resetInNewEra(): void {
    const {era} = this.options.versionTracker;
    if (era === this.era) return;
    this.era = era;
    this.checkedVersion = 0;
  }

  private postpone(factor: number): void {
    const {hosts, random} = this.options;
    this.postponedMs = performance.now();
    this.delayMs = factor * drawProbeDelayMs(hosts.count, random);
  }

  private computeWaitMs(): number {
    const factor = this.options.hosts.hasHostList ? 1 : UNKNOWN_HOSTS_FACTOR;
    return this.postponedMs + factor * this.delayMs - performance.now();
  }
}
