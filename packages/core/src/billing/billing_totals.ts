import {NO_RETENTION_MARKS, type RetentionMarks} from '../steps/retention.js';
import type {BatchName, LinkName} from './billing_batch.js';
import type {BatchLink, BillingRecord} from './billing_record.js';

/** Usage of one organisation in one period. */
export interface UsageTotals {
  readonly requestCount: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly costMicros: number;
}

/**
 * Which links of one run of an entry are in the totals. An entry writes its
 * batches one after another, so a link of its own for batch n + 1 proves that
 * it knows batch n to be durable. A listing that began after that proof was
 * recorded shows every link of batch n; then the batch is sealed, and links
 * that late writers add to it are ignored.
 */
export interface FoldProgress {
  /** Every record of the batches up to this one is in the totals. */
  readonly sealedThrough: number;
  /** The entry knows its batches up to this one to be durable. */
  readonly confirmedThrough: number;
  /** Links of later batches in the totals, as `sequence.link`. */
  readonly foldedLinks: readonly string[];
  /** Version of the newest folded link. */
  readonly lastVersion: number;
}

/** The object that holds the totals of one shard of the batches. */
export interface BillingTotals {
  /** Unique to one write, so that its writer knows it again. */
  readonly compactionId: string;
  /** By `period/organisation`. */
  readonly usage: Readonly<Record<string, UsageTotals>>;
  /** By incarnation. */
  readonly progress: Readonly<Record<string, FoldProgress>>;
  readonly retention: RetentionMarks;
}

/** Totals before the first compaction. */
export const EMPTY_TOTALS: BillingTotals = {
  compactionId: '',
  usage: {},
  progress: {},
  retention: NO_RETENTION_MARKS,
};

const NO_USAGE: UsageTotals = {
  requestCount: 0,
  promptTokens: 0,
  outputTokens: 0,
  costMicros: 0,
};

const NO_PROGRESS: FoldProgress = {
  sealedThrough: 0,
  confirmedThrough: 0,
  foldedLinks: [],
  lastVersion: 0,
};

/** Object key of the totals of a shard. */
export function resolveTotalsKey(shard: number): string {
  return `billing/totals/${shard}`;
}

/** True when the records of a link are in the totals already. */
export function isLinkFolded(totals: BillingTotals, name: LinkName): boolean {
  const progress = totals.progress[name.incarnation] ?? NO_PROGRESS;
  if (name.sequence <= progress.sealedThrough) return true;
  return progress.foldedLinks.includes(`${name.sequence}.${name.link}`);
}

/** True when nobody can add to a batch that needs to be kept. */
export function isBatchSealed(totals: BillingTotals, name: BatchName): boolean {
  const progress = totals.progress[name.incarnation] ?? NO_PROGRESS;
  return name.sequence <= progress.sealedThrough;
}

/** Adds the records of one link to the totals, once. */
export function foldLink(
  totals: BillingTotals,
  name: LinkName,
  version: number,
  link: BatchLink,
): BillingTotals {
  if (isLinkFolded(totals, name)) return totals;
  const usage = {...totals.usage};
  for (const record of link.records) {
    const usageKey = `${record.period}/${record.organisation}`;
    usage[usageKey] = addRecord(usage[usageKey] ?? NO_USAGE, record);
  }
  const earlier = totals.progress[name.incarnation] ?? NO_PROGRESS;
  const confirmed = link.writer === 'origin' ? name.sequence - 1 : 0;
  const progress: FoldProgress = {
    ...earlier,
    confirmedThrough: Math.max(earlier.confirmedThrough, confirmed),
    foldedLinks: [...earlier.foldedLinks, `${name.sequence}.${name.link}`],
    lastVersion: Math.max(earlier.lastVersion, version),
  };
  return {
    ...totals,
    usage,
    progress: {...totals.progress, [name.incarnation]: progress},
  };
}

/**
 * Seals the batches that were confirmed in `before`, the totals that were read
 * ahead of the listing. Runs of entries that were not listed in full wait.
 */
export function sealBatches(
  totals: BillingTotals,
  totalsBeforeListing: BillingTotals,
  fullyListedIncarnations: ReadonlySet<string>,
): BillingTotals {
  const entries = Object.entries(totals.progress).map(
    ([incarnation, progress]): [string, FoldProgress] => {
      const confirmed =
        totalsBeforeListing.progress[incarnation]?.confirmedThrough ?? 0;
      if (!fullyListedIncarnations.has(incarnation))
        return [incarnation, progress];
      const foldedLinks = progress.foldedLinks.filter(
        name => Number.parseInt(name, 10) > confirmed,
      );
      return [
        incarnation,
        {...progress, sealedThrough: confirmed, foldedLinks},
      ];
    },
  );
  return {...totals, progress: Object.fromEntries(entries)};
}

function addRecord(usage: UsageTotals, record: BillingRecord): UsageTotals {
  return {
    requestCount: usage.requestCount + 1,
    promptTokens: usage.promptTokens + record.promptTokens,
    outputTokens: usage.outputTokens + record.outputTokens,
    costMicros: usage.costMicros + record.costMicros,
  };
}

/**
 * Forgets runs of entries whose last link is older than the retention and of
 * which no link is left; a link that is left would be added again.
 */
export function dropExpiredProgress(
  totals: BillingTotals,
  expiredVersion: number,
  listedIncarnations: ReadonlySet<string>,
): BillingTotals {
  const kept = Object.entries(totals.progress).filter(
    ([incarnation, progress]) =>
      progress.lastVersion > expiredVersion ||
      listedIncarnations.has(incarnation),
  );
  return {...totals, progress: Object.fromEntries(kept)};
}

/**
 * Adds the usage of all shards, by `period/organisation`.
 *
 * @example
 * ```ts
 * sumUsage([totalsOfShard0, totalsOfShard1])['2026-12/hanbit'].requestCount;
 * ```
 */
export function sumUsage(
  shards: readonly BillingTotals[],
): Readonly<Record<string, UsageTotals>> {
  const sum: Record<string, UsageTotals> = {};
  for (const [key, usage] of shards.flatMap(s => Object.entries(s.usage))) {
    const earlier = sum[key] ?? NO_USAGE;
    sum[key] = {
      requestCount: earlier.requestCount + usage.requestCount,
      promptTokens: earlier.promptTokens + usage.promptTokens,
      outputTokens: earlier.outputTokens + usage.outputTokens,
      costMicros: earlier.costMicros + usage.costMicros,
    };
  }
  return sum;
}

/** Parses totals; text that is not JSON throws, since money depends on it. */
export function parseTotals(text: string): BillingTotals {
  return JSON.parse(text) as BillingTotals;
}
