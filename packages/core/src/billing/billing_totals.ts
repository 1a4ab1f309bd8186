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
 * Which links of one incarnation of an entry are included in the totals. An
 * entry writes its batches one after another, so a link for batch n + 1 that it
 * wrote itself proves that it knows batch n to be durable. A listing that began
 * after this proof was stored contains every record of batch n. The batch is
 * then sealed: links that late writers add to it are ignored.
 */
export interface FoldProgress {
  /** Batches up to this sequence number are sealed; the totals include them. */
  readonly sealedThrough: number;
  /** The entry knows its batches up to this sequence number to be durable. */
  readonly confirmedThrough: number;
  /** Links of later batches that the totals include, as `sequence.link`. */
  readonly foldedLinks: readonly string[];
  /** Store version of the newest link that the totals include. */
  readonly lastVersion: number;
}

/** The stored totals of one shard. */
export interface BillingTotals {
  /** Unique to one write, so that its writer recognises it. */
  readonly compactionId: string;
  /** Keyed by `period/organisation`. */
  readonly usage: Readonly<Record<string, UsageTotals>>;
  /** Keyed by incarnation. */
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

/** Computes the object key of the totals of a shard. */
export function resolveTotalsKey(shard: number): string {
  return `billing/totals/${shard}`;
}

/** Returns true when the totals already include the records of a link. */
export function isLinkFolded(totals: BillingTotals, name: LinkName): boolean {
  const progress = totals.progress[name.incarnation] ?? NO_PROGRESS;
  if (name.sequence <= progress.sealedThrough) return true;
  return progress.foldedLinks.includes(`${name.sequence}.${name.link}`);
}

/**
 * Returns true when a batch is sealed: the totals include all its records, and
 * links that are added to it later are ignored.
 */
export function isBatchSealed(totals: BillingTotals, name: BatchName): boolean {
  const progress = totals.progress[name.incarnation] ?? NO_PROGRESS;
  return name.sequence <= progress.sealedThrough;
}

/** Adds the records of a link to the totals, unless they are included. */
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
 * Seals the batches that were confirmed in the totals read before the listing
 * began. Incarnations whose links were not all listed are left unchanged.
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
 * Removes the progress of incarnations whose last link is older than the
 * retention period. An incarnation that still has links is kept; otherwise its
 * links would be added to the totals again.
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
 * Sums the usage of all shards, keyed by `period/organisation`.
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

/**
 * Parses totals. Invalid text is an error and not empty totals, since bills are
 * computed from them.
 *
 * @throws SyntaxError when the text is not JSON.
 */
export function parseTotals(text: string): BillingTotals {
  return JSON.parse(text) as BillingTotals;
}
