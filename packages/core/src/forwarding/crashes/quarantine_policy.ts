import type {SuspectKind} from './suspect_ids.js';

/** What servers have answered of a suspect. */
export type AnswerHistory = 'unanswered' | 'begun' | 'answered';

/**
 * Crashes without an answer in between after which a suspect is quarantined. A
 * part is shared by many sound requests, a whole request only by its repeats.
 */
export const CRASHES_BEFORE_QUARANTINE: Readonly<
  Record<SuspectKind, Readonly<Record<AnswerHistory, number>>>
> = {
  part: {unanswered: 3, begun: 3, answered: 6},
  request: {unanswered: 2, begun: 3, answered: 6},
};

/**
 * First quarantine of a suspect; each further one takes longer. Shorter for
 * those that servers have answered before.
 */
export const QUARANTINE_MS: Readonly<Record<AnswerHistory, number>> = {
  unanswered: 60_000,
  begun: 60_000,
  answered: 10_000,
};

/** Factor between one quarantine of a suspect and the next. */
export const QUARANTINE_GROWTH = {part: 2, request: 8} as const;
/** Longest quarantine of any suspect. */
export const MAX_QUARANTINE_MS = 3_600_000;
