import {
  addAnswer,
  addUnfinishedSlowAnswer,
  NO_ANSWERS,
  subtractAnswers,
  sumAnswers,
  type AnswerCounters,
  type AnswerOutcome,
} from './answer_counters.js';

/** The old or the new version of a rollout. */
export type RolloutSide = 'old' | 'new';

/** Counters of one host for one version on one route. */
export interface AnswerRow {
  readonly route: string;
  readonly side: RolloutSide;
  readonly counters: AnswerCounters;
}

/** Rows that changed, to be sent to other hosts. */
export interface AnswerDelta {
  readonly rows: readonly AnswerRow[];
  /** Pass as `afterRevision` when listing the next delta. */
  readonly revision: number;
}

interface OwnRow {
  readonly row: AnswerRow;
  readonly revision: number;
}

/** Maximum number of rows of other hosts; further ones are ignored. */
const MAX_REMOTE_ROWS = 20_000;

/**
 * Answers of the two versions of a rollout, summed over all hosts. Each run of a
 * host counts its own answers, and its rows replace its earlier ones, so that
 * lost, repeated and reordered messages do no harm.
 */
export class PooledAnswers {
  private readonly ownRows = new Map<string, OwnRow>();
  private readonly remoteRows = new Map<string, AnswerRow>();
  private readonly totals = new Map<string, AnswerRow>();
  private revision = 0;

  private constructor() {}

  /**
   * @example
   * ```ts
   * const answers = PooledAnswers.create();
   * answers.record('a', 'new', {hasFailed: true, slowness: undefined});
   * answers.read('a', 'new').failures; // 1
   * ```
   */
  static create(): PooledAnswers {
    return new PooledAnswers();
  }

  /** Counts an answer that this host has received. */
  record(route: string, side: RolloutSide, outcome: AnswerOutcome): void {
    this.update(route, side, before => addAnswer(before, outcome));
  }

  /** Counts an answer that was slow when this host gave it up. */
  recordUnfinishedSlow(route: string, side: RolloutSide): void {
    this.update(route, side, addUnfinishedSlowAnswer);
  }

  /**
   * Takes over the rows of another host.
   *
   * @param member identifies one run of the host.
   */
  merge(member: string, rows: readonly AnswerRow[]): void {
    for (const row of rows) {
      const key = `${formatKey(row.route, row.side)}|${member}`;
      const known = this.remoteRows.get(key);
      const before = known?.counters ?? NO_ANSWERS;
      if (!hasGrown(row.counters, before)) continue;
      const isFull = this.remoteRows.size >= MAX_REMOTE_ROWS;
      if (known === undefined && isFull) continue;
      this.remoteRows.set(key, row);
      this.addGrowth(row, before);
    }
  }

  /** Returns the counters of one version on one route. */
  read(route: string, side: RolloutSide): AnswerCounters {
    return this.totals.get(formatKey(route, side))?.counters ?? NO_ANSWERS;
  }

  /** Returns the counters of one version on all routes. */
  readAll(side: RolloutSide): AnswerCounters {
    return [...this.totals.values()]
      .filter(row => row.side === side)
      .reduce((sum, {counters}) => sumAnswers(sum, counters), NO_ANSWERS);
  }

  /** Lists the routes on which a version has answered. */
  listRoutes(side: RolloutSide): readonly string[] {
    return [...this.totals.values()]
      .filter(row => row.side === side)
      .map(({route}) => route);
  }

  /**
   * Lists this host's rows that changed after a revision.
   *
   * @param afterRevision 0 for all rows.
   */
  listOwnRows(afterRevision: number): AnswerDelta {
    const rows = [...this.ownRows.values()]
      .filter(({revision}) => revision > afterRevision)
      .map(({row}) => row);
    return {rows, revision: this.revision};
  }

  private update(
    route: string,
    side: RolloutSide,
    count: (before: AnswerCounters) => AnswerCounters,
  ): void {
    const key = formatKey(route, side);
    const before = this.ownRows.get(key)?.row.counters ?? NO_ANSWERS;
    const row = {route, side, counters: count(before)};
    this.revision += 1;
    this.ownRows.set(key, {row, revision: this.revision});
    this.addGrowth(row, before);
  }

  private addGrowth(
    {route, side, counters}: AnswerRow,
    before: AnswerCounters,
  ): void {
    const growth = subtractAnswers(counters, before);
    const total = sumAnswers(this.read(route, side), growth);
    this.totals.set(formatKey(route, side), {route, side, counters: total});
  }
}

function formatKey(route: string, side: RolloutSide): string {
  return `${side}|${route}`;
}

/** False for counters that arrive late or again. */
function hasGrown(counters: AnswerCounters, before: AnswerCounters): boolean {
  if (counters.requests !== before.requests)
    return counters.requests > before.requests;
  return counters.durations.count > before.durations.count;
}
