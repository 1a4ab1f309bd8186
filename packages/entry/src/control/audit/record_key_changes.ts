import type {MemberId} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';
import type {KeyChange} from '../../config/key_changes.js';
import type {AuditTrail} from './audit_trail.js';

/** Options of {@link createKeyChangeRecorder}. */
export interface KeyChangeRecorderOptions {
  readonly audit: AuditTrail;
  /** Host and incarnation of this entry. */
  readonly member: MemberId;
  readonly logger: Logger;
  /** Returns the revision of the rules in force. */
  readonly revision: () => number;
}

/**
 * Creates a function that records changes of secrets in the audit trail. Each
 * host records when it applied a change. The records contain names and ids,
 * never a secret or its digest.
 *
 * @example
 * ```ts
 * const record = createKeyChangeRecorder({audit, member, logger, revision});
 * record({kind: 'session key', name: 'k2', change: 'added'});
 * ```
 */
export function createKeyChangeRecorder(
  options: KeyChangeRecorderOptions,
): (change: KeyChange) => void {
  const {audit, member, logger, revision} = options;
  let recordCount = 0;
  return ({kind, name, change}) => {
    recordCount += 1;
    const currentRevision = revision();
    audit
      .append({
        // Unique to this incarnation and change, so that a repeated write is
        // detected as a duplicate.
        id: `key.rotate/${member.host}/${member.incarnation}/${recordCount}`,
        timeMs: Date.now(),
        host: member.host,
        action: 'key.rotate',
        who: 'settings file',
        why: `${kind} ${name}`,
        beforeRevision: currentRevision,
        afterRevision: currentRevision,
        outcome: change,
      })
      .catch((error: unknown) => {
        logger.warn('key_change_not_recorded', {name, reason: String(error)});
      });
  };
}
