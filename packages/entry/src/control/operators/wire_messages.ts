import {create} from '@bufbuild/protobuf';
import type {AuditEntry, ExplainedOption, Finding} from '@anvilrudder/core';
import * as wire from '@anvilrudder/peers';
import type {OrderPlanStatus} from '../orders/order_plans.js';
import type {
  ChangeOutcome,
  MemberStatus,
  RulesStatus,
} from '../rules_manager.js';
import type {VersionStatus} from './version_ruling_service.js';

/** Encodes the outcome of a change. */
export function encodeOutcome(outcome: ChangeOutcome): wire.ChangeOutcome {
  return create(wire.ChangeOutcomeSchema, {
    changeId: outcome.changeId,
    state: outcome.state,
    revision: BigInt(outcome.revision),
    reason: outcome.reason,
    findings: outcome.findings.map(encodeFinding),
    silentHosts: [...outcome.silentHosts],
  });
}

/** Encodes what an entry knows about the rules and its peers. */
export function encodeStatus(
  host: string,
  status: RulesStatus,
): wire.GetStatusResponse {
  return create(wire.GetStatusResponseSchema, {
    host,
    revision: BigInt(status.revision),
    digest: status.digest,
    pendingChangeId: status.pendingChangeId ?? '',
    isServing: status.isServing,
    servesBy: status.servesBy,
    confirmedAgeMs: encodeDurationMs(status.confirmedAgeMs),
    members: status.members.map(encodeMember),
  });
}

/** Encodes one record of the audit trail. */
export function encodeAuditRecord(record: AuditEntry): wire.AuditRecord {
  return create(wire.AuditRecordSchema, {
    ...record,
    sequence: BigInt(record.sequence),
    timeMs: BigInt(Math.trunc(record.timeMs)),
    beforeRevision: BigInt(record.beforeRevision),
    afterRevision: BigInt(record.afterRevision),
  });
}

/** Encodes one option of an explanation. */
export function encodeOption(option: ExplainedOption): wire.ExplainedOption {
  return create(wire.ExplainedOptionSchema, {
    ...option,
    rules: option.rules.map(rule =>
      create(wire.ExplainedRuleSchema, {
        line: rule.line,
        text: rule.text,
        who: rule.who,
        why: rule.why,
      }),
    ),
  });
}

function encodeFinding(finding: Finding): wire.Finding {
  const {position, severity, code, message, hint} = finding;
  return create(wire.FindingSchema, {
    line: position.line,
    column: position.column,
    severity,
    code,
    message,
    hint: hint ?? '',
  });
}

function encodeMember(member: MemberStatus): wire.MemberStatus {
  const {host, incarnation, failureDomain, heardAgeMs, revision} = member;
  return create(wire.MemberStatusSchema, {
    host,
    incarnation,
    failureDomain,
    heardAgeMs:
      heardAgeMs === undefined ? undefined : encodeDurationMs(heardAgeMs),
    revision: revision === undefined ? undefined : BigInt(revision),
  });
}

const MAX_UINT32 = 2 ** 32 - 1;

/** Rounds to whole milliseconds in the range of uint32; NaN is its maximum. */
function encodeDurationMs(durationMs: number): number {
  if (Number.isNaN(durationMs)) return MAX_UINT32;
  return Math.min(MAX_UINT32, Math.max(0, Math.round(durationMs)));
}

/** Encodes the ruling on one version and the evidence about the version. */
export function encodeVersion(status: VersionStatus): wire.VersionStatus {
  return create(wire.VersionStatusSchema, {
    ...status,
    requests: BigInt(status.requests),
    errors: BigInt(status.errors),
    ratings: BigInt(status.ratings),
  });
}

/** Encodes the progress of an order plan. */
export function encodeOrderPlan(status: OrderPlanStatus): wire.OrderPlan {
  return create(wire.OrderPlanSchema, {
    planId: status.planId,
    planned: status.plannedCount,
    applied: status.appliedCount,
    cancelled: status.cancelledCount,
  });
}
