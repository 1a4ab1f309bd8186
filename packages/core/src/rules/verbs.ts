import {FieldReader, type NumberRange} from './field_reader.js';
import type {
  AllowRule,
  CascadeRule,
  KindRule,
  LimitRule,
  ModelRule,
  Priority,
  RolloutRule,
  ServiceRule,
  StopRule,
  TargetRule,
} from './rule_set.js';

/**
 * A parsed rule that is not yet checked against the other rules. Its reader
 * gives the positions of its fields.
 */
export interface Draft<T> {
  readonly rule: T;
  readonly reader: FieldReader;
}

/** The rules parsed so far, in the order of their lines. */
export interface RuleDrafts {
  readonly models: Array<Draft<ModelRule>>;
  readonly kinds: Array<Draft<KindRule>>;
  readonly services: Array<Draft<ServiceRule>>;
  readonly allows: Array<Draft<AllowRule>>;
  readonly targets: Array<Draft<TargetRule>>;
  readonly rollouts: Array<Draft<RolloutRule>>;
  readonly withdrawals: Array<Draft<StopRule>>;
  readonly drains: Array<Draft<StopRule>>;
  readonly limits: Array<Draft<LimitRule>>;
  readonly cascades: Array<Draft<CascadeRule>>;
}

/** Reads the fields of a line and adds the rule to the drafts. */
export type VerbHandler = (reader: FieldReader, drafts: RuleDrafts) => void;

const COST_PER_MTOK: NumberRange = {min: 0, max: 1_000_000, isInteger: false};
const QUALITY: NumberRange = {min: 0, max: 1, isInteger: false};
const DURATION_MS: NumberRange = {min: 1, max: 3_600_000, isInteger: true};
const RATE_PER_S: NumberRange = {min: 0.001, max: 1_000_000, isInteger: false};
const COUNT: NumberRange = {min: 1, max: 1_000_000, isInteger: true};

const PRIORITIES: ReadonlyMap<string, Priority> = new Map([
  ['low', 'low'],
  ['normal', 'normal'],
  ['high', 'high'],
]);

/** The handler of each verb, which is the first word of a rule line. */
export const VERB_HANDLERS: ReadonlyMap<string, VerbHandler> = new Map([
  ['model', readModel],
  ['kind', readKind],
  ['service', readService],
  ['allow', readAllow],
  ['target', readTarget],
  ['rollout', readRollout],
  ['withdraw', readWithdrawal],
  ['drain', readDrain],
  ['limit', readLimit],
  ['cascade', readCascade],
]);

/** Creates empty lists of drafts. */
export function createDrafts(): RuleDrafts {
  return {
    models: [],
    kinds: [],
    services: [],
    allows: [],
    targets: [],
    rollouts: [],
    withdrawals: [],
    drains: [],
    limits: [],
    cascades: [],
  };
}

function readModel(reader: FieldReader, drafts: RuleDrafts): void {
  const rule: ModelRule = {
    source: reader.source,
    model: reader.readName('name'),
    version: reader.readName('version'),
    costPerMtok: reader.readNumber('cost-per-mtok', COST_PER_MTOK),
    quality: reader.readNumber('quality', QUALITY),
  };
  drafts.models.push({rule, reader});
}

function readKind(reader: FieldReader, drafts: RuleDrafts): void {
  const rule: KindRule = {
    source: reader.source,
    name: reader.readName('name'),
    qualityTarget: reader.readNumber('quality', QUALITY),
    deadlineMs: reader.readNumber('deadline-ms', DURATION_MS),
    priority: reader.readWord('priority', PRIORITIES, 'normal'),
    issuesSession: reader.readFlag('session', false),
  };
  drafts.kinds.push({rule, reader});
}

function readService(reader: FieldReader, drafts: RuleDrafts): void {
  const rule: ServiceRule = {
    source: reader.source,
    name: reader.readName('name'),
    isIdempotent: reader.readFlag('idempotent', false),
    timeoutMs: reader.readNumber('timeout-ms', DURATION_MS),
  };
  drafts.services.push({rule, reader});
}

function readAllow(reader: FieldReader, drafts: RuleDrafts): void {
  const isForService = reader.has('service') && !reader.has('model');
  const rule = isForService ? readServiceAllow(reader) : readModelAllow(reader);
  drafts.allows.push({rule, reader});
}

function readServiceAllow(reader: FieldReader): AllowRule {
  return {
    source: reader.source,
    organisation: reader.readName('organisation'),
    service: reader.readName('service'),
    model: undefined,
    version: undefined,
    kind: undefined,
  };
}

function readModelAllow(reader: FieldReader): AllowRule {
  reader.addKnownKey('service');
  if (reader.has('service')) {
    reader.report(
      reader.getPosition('service'),
      'conflicting_key',
      'a rule allows either a model or a service',
      'write two rules',
    );
  }
  return {
    source: reader.source,
    organisation: reader.readName('organisation'),
    model: reader.readNameOrWildcard('model'),
    version: reader.readNameOrWildcard('version'),
    kind: reader.readNameOrWildcard('kind'),
    service: undefined,
  };
}

function readTarget(reader: FieldReader, drafts: RuleDrafts): void {
  const rule: TargetRule = {
    source: reader.source,
    organisation: reader.readName('organisation'),
    kind: reader.readName('kind'),
    qualityTarget: reader.readNumber('quality', QUALITY),
  };
  drafts.targets.push({rule, reader});
}

function readRollout(reader: FieldReader, drafts: RuleDrafts): void {
  const rule: RolloutRule = {
    ...readVersionFields(reader),
    share: reader.readShare('share'),
  };
  drafts.rollouts.push({rule, reader});
}

function readWithdrawal(reader: FieldReader, drafts: RuleDrafts): void {
  drafts.withdrawals.push({rule: readVersionFields(reader), reader});
}

function readDrain(reader: FieldReader, drafts: RuleDrafts): void {
  drafts.drains.push({rule: readVersionFields(reader), reader});
}

function readVersionFields(reader: FieldReader): StopRule {
  return {
    source: reader.source,
    model: reader.readName('model'),
    version: reader.readName('version'),
  };
}

function readLimit(reader: FieldReader, drafts: RuleDrafts): void {
  const rule: LimitRule = {
    source: reader.source,
    organisation: reader.readName('organisation'),
    requestsPerS: reader.readNumber('requests-per-s', RATE_PER_S),
    burst: reader.readNumber('burst', COUNT),
    concurrent: reader.readNumber('concurrent', COUNT),
  };
  drafts.limits.push({rule, reader});
}

function readCascade(reader: FieldReader, drafts: RuleDrafts): void {
  const rule: CascadeRule = {
    source: reader.source,
    kind: reader.readName('kind'),
    models: reader.readNames('models'),
  };
  drafts.cascades.push({rule, reader});
}
