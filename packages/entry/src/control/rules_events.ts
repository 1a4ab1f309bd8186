import type {LogLevel, Logger} from '@anvilrudder/observability';
import type {RulesEvent} from './acceptance/index.js';
import type {AuditTrail} from './audit/audit_trail.js';

type RulesEventKind = RulesEvent['kind'];

/** Log level of each kind of rules event. */
export const RULES_EVENT_LEVELS: Readonly<Record<RulesEventKind, LogLevel>> = {
  headCreated: 'info',
  changeProposed: 'info',
  changeAccepted: 'info',
  changeRefused: 'info',
  membersChanged: 'info',
  contentInvalid: 'error',
  storeFailed: 'warn',
  loopFailed: 'error',
};

/** How an event is recorded in the audit trail. */
interface AuditedEvent {
  readonly action: string;
  readonly outcome: string;
  /** True when the event brings a new revision of the rules into force. */
  readonly changesRules: boolean;
}

const AUDITED_EVENTS: Readonly<Partial<Record<RulesEventKind, AuditedEvent>>> =
  {
    headCreated: {
      action: 'rules.apply',
      outcome: 'created',
      changesRules: true,
    },
    changeAccepted: {
      action: 'rules.apply',
      outcome: 'accepted',
      changesRules: true,
    },
    changeRefused: {
      action: 'rules.apply',
      outcome: 'refused',
      changesRules: false,
    },
    membersChanged: {
      action: 'members.change',
      outcome: 'members',
      changesRules: false,
    },
  };

/**
 * Logs a rules event under its kind in snake case.
 *
 * @example
 * ```ts
 * logRulesEvent(logger, event);
 * ```
 */
export function logRulesEvent(logger: Logger, event: RulesEvent): void {
  const {kind, ...fields} = event;
  const name = kind.replace(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
  logger[RULES_EVENT_LEVELS[kind]](name, {...fields});
}

/**
 * Records a rules event in the audit trail if it concerns the outcome of a
 * change of the rules or of the members.
 *
 * @example
 * ```ts
 * recordRulesEvent(audit, 'entry-1', event);
 * ```
 */
export function recordRulesEvent(
  audit: AuditTrail,
  host: string,
  event: RulesEvent,
): void {
  const audited = AUDITED_EVENTS[event.kind];
  if (audited === undefined) return;
  const {action, outcome, changesRules} = audited;
  audit
    .append({
      id: `${event.changeId}/${outcome}`,
      timeMs: Date.now(),
      host,
      action,
      who: event.who,
      why: event.why,
      beforeRevision: changesRules
        ? Math.max(0, event.revision - 1)
        : event.revision,
      afterRevision: event.revision,
      outcome,
    })
    .catch(() => undefined);
}
