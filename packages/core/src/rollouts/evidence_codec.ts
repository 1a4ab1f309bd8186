import type {Moments} from './counters.js';
import type {EvidenceDelta, EvidenceRow} from './evidence_table.js';

const SCORE_SCALE = 10_000;

type EncodedRow = readonly [string, string, ...number[]];

function encodeMoments({count, sum, squareSum}: Moments): readonly number[] {
  return [
    count,
    Math.round(sum * SCORE_SCALE),
    Math.round(squareSum * SCORE_SCALE),
  ];
}

function decodeMoments(values: readonly number[]): Moments {
  const [count, sum, squareSum] = values;
  return {count, sum: sum / SCORE_SCALE, squareSum: squareSum / SCORE_SCALE};
}

function encodeRow({member, version, counters}: EvidenceRow): EncodedRow {
  const {requests, errors, ratings, checks} = counters;
  return [
    member,
    version,
    requests,
    errors,
    ...encodeMoments(ratings),
    ...encodeMoments(checks),
  ];
}

function decodeRow([member, version, ...values]: EncodedRow): EvidenceRow {
  const [requests, errors] = values;
  const ratings = decodeMoments(values.slice(2, 5));
  const checks = decodeMoments(values.slice(5, 8));
  return {member, version, counters: {requests, errors, ratings, checks}};
}

/**
 * Encodes a delta as compact JSON; scores keep four decimals, rounded so that
 * a counter never shrinks from one delta to the next.
 *
 * @example
 * ```ts
 * const byteCount = encodeEvidence(ledger.createDelta(0)).length;
 * ```
 */
export function encodeEvidence(delta: EvidenceDelta): string {
  return JSON.stringify([delta.revision, delta.rows.map(encodeRow)]);
}

/** Decodes the form written by {@link encodeEvidence}. */
export function decodeEvidence(text: string): EvidenceDelta {
  const [revision, rows] = JSON.parse(text) as [number, EncodedRow[]];
  return {revision, rows: rows.map(decodeRow)};
}
