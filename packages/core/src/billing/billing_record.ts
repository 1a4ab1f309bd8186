/** What one request is billed for. */
export interface BillingRecord {
  /** Identifies the record; a request is billed once. */
  readonly requestId: string;
  readonly organisation: string;
  /** Accounting period, such as `2026-12`, on the clock of the entry. */
  readonly period: string;
  /** Kind of request, or the name of the plain service. */
  readonly kind: string;
  /** Empty for a plain service. */
  readonly model: string;
  readonly version: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Cost in millionths of the currency unit of the rule file. */
  readonly costMicros: number;
}

/** Who wrote a link: the entry that answered, or a peer on its behalf. */
export type LinkWriter = 'origin' | 'handOff';

/** The content of one batch object. */
export interface BatchLink {
  readonly writer: LinkWriter;
  readonly records: readonly BillingRecord[];
}

type EncodedSubject = readonly [string, string, string, string, string];
type EncodedRow = readonly [string, number, number, number, number];

interface EncodedLink {
  readonly writer: LinkWriter;
  /** Organisation, period, kind, model, version. */
  readonly subjects: readonly EncodedSubject[];
  /** Request id, index of the subject, prompt tokens, output tokens, cost. */
  readonly rows: readonly EncodedRow[];
}

/**
 * Encodes records compactly and in order: what many records share is written
 * once.
 *
 * @example
 * ```ts
 * parseBatchLink(encodeBatchLink({writer: 'origin', records})).records;
 * ```
 */
export function encodeBatchLink(link: BatchLink): string {
  const subjectIndex = new Map<string, number>();
  const subjects: EncodedSubject[] = [];
  const rows = link.records.map((record): EncodedRow => {
    const {organisation, period, kind, model, version} = record;
    const subject = [organisation, period, kind, model, version] as const;
    const subjectKey = JSON.stringify(subject);
    const index = subjectIndex.get(subjectKey) ?? subjects.length;
    if (index === subjects.length) {
      subjectIndex.set(subjectKey, index);
      subjects.push(subject);
    }
    const {requestId, promptTokens, outputTokens, costMicros} = record;
    return [requestId, index, promptTokens, outputTokens, costMicros];
  });
  const encoded: EncodedLink = {writer: link.writer, subjects, rows};
  return JSON.stringify(encoded);
}

/**
 * Parses what {@link encodeBatchLink} wrote.
 *
 * @throws SyntaxError when the text is not JSON.
 */
export function parseBatchLink(text: string): BatchLink {
  const {writer, subjects, rows} = JSON.parse(text) as EncodedLink;
  const records = rows.map(row => {
    const [requestId, index, promptTokens, outputTokens, costMicros] = row;
    const [organisation, period, kind, model, version] = subjects[index];
    return {
      requestId,
      organisation,
      period,
      kind,
      model,
      version,
      promptTokens,
      outputTokens,
      costMicros,
    };
  });
  return {writer, records};
}
