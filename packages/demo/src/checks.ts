import {callGenerate, sendHttpRequest, type GenerateResult} from './caller.js';
import type {Deployment} from './deployment.js';
import {
  checkAudit,
  checkExplain,
  checkOutdatedBase,
  checkRollout,
  checkWithdrawal,
} from './rule_checks.js';

/** Result of one check of the demo. */
export interface CheckResult {
  readonly isOk: boolean;
  /** The observed values, printed beside the name of the check. */
  readonly observed: string;
}

/** A named check of the demo. */
export interface Check {
  readonly name: string;
  readonly run: (deployment: Deployment) => Promise<CheckResult>;
}

const STREAM_TOKENS = 12;

/**
 * The checks of the demo, in order. Later checks change the rules and stop an
 * entry, so their order matters.
 */
export const CHECKS: readonly Check[] = [
  {name: 'all four entries stream complete answers', run: checkStreams},
  {
    name: 'the quality target of a kind selects the model',
    run: checkModelByKind,
  },
  {name: 'a session keeps its version across entries', run: checkSession},
  {name: "another organisation's session is refused", run: checkForeignSession},
  {name: 'a confirmation sent twice is executed once', run: checkConfirmation},
  {name: 'a cascade is answered by both of its models', run: checkCascade},
  {name: 'invalid requests get the expected status', run: checkBadRequests},
  {name: 'a rollout takes effect at every entry', run: checkRollout},
  {
    name: 'a change of an outdated revision is refused',
    run: checkOutdatedBase,
  },
  {name: 'no request to a withdrawn version under load', run: checkWithdrawal},
  {name: 'explain shows the author of the rule', run: checkExplain},
  {name: 'the audit trail contains the changes', run: checkAudit},
  {name: 'a planned stop interrupts no request', run: checkPlannedStop},
];

async function checkStreams(deployment: Deployment): Promise<CheckResult> {
  const answers = await Promise.all(
    deployment.entries.flatMap((entry, index) =>
      deployment.organisations.map(({apiKey}, organisation) =>
        callGenerate({
          baseUrl: entry.callerUrl,
          apiKey,
          kind: organisation === 0 ? 'icebreaker' : 'scout-question',
          prompt: `hello ${index}`,
          maxTokens: STREAM_TOKENS,
        }),
      ),
    ),
  );
  return summarize(answers);
}

async function checkModelByKind(deployment: Deployment): Promise<CheckResult> {
  const [seoul, colombo] = deployment.organisations;
  const answers = await Promise.all([
    generateAtFirstEntry(deployment, seoul.apiKey, 'match-reason'),
    generateAtFirstEntry(deployment, colombo.apiKey, 'casting-brief'),
    generateAtFirstEntry(deployment, seoul.apiKey, 'icebreaker'),
  ]);
  const models = answers.map(answer => answer.model).join(',');
  return {isOk: models === 'deep,deep,quick', observed: models};
}

async function checkSession(deployment: Deployment): Promise<CheckResult> {
  const {apiKey} = deployment.organisations[0];
  let session: string | undefined;
  const versions = new Set<string>();
  for (const entry of deployment.entries) {
    const answer = await callGenerate({
      baseUrl: entry.callerUrl,
      apiKey,
      kind: 'icebreaker',
      prompt: 'again',
      maxTokens: 2,
      session,
    });
    session = answer.session;
    versions.add(`${answer.model}@${answer.version}`);
  }
  return {isOk: versions.size === 1, observed: [...versions].join(',')};
}

async function checkForeignSession(
  deployment: Deployment,
): Promise<CheckResult> {
  const [seoul, colombo] = deployment.organisations;
  const own = await generateAtFirstEntry(
    deployment,
    seoul.apiKey,
    'icebreaker',
  );
  const foreign = await callGenerate({
    baseUrl: deployment.entries[1].callerUrl,
    apiKey: colombo.apiKey,
    kind: 'scout-question',
    prompt: 'x',
    maxTokens: 1,
    session: own.session,
  });
  return {isOk: foreign.code === 'invalid_session', observed: foreign.code};
}

async function checkConfirmation(deployment: Deployment): Promise<CheckResult> {
  const {apiKey} = deployment.organisations[0];
  const answers = await Promise.all(
    deployment.entries.slice(0, 2).map(entry =>
      sendHttpRequest(`${entry.callerUrl}/v1/services/booking`, {
        method: 'POST',
        headers: {
          authorization: `Bearer ${apiKey}`,
          'content-type': 'application/json',
          'idempotency-key': 'pairing-1',
        },
        body: '{"pairing":1}',
      }),
    ),
  );
  const {body} = await sendHttpRequest(
    `${deployment.bookingUrl}/admin/executions`,
  );
  const {byKey} = JSON.parse(body) as {byKey: Record<string, number>};
  const executions = Object.values(byKey).reduce((sum, n) => sum + n, 0);
  const statuses = answers.map(answer => answer.httpStatus).join(',');
  return {
    isOk: executions === 1,
    observed: `executions ${executions}, answers ${statuses}`,
  };
}

async function checkCascade(deployment: Deployment): Promise<CheckResult> {
  const {apiKey} = deployment.organisations[0];
  const answers = await Promise.all(
    Array.from({length: 40}, () =>
      generateAtFirstEntry(deployment, apiKey, 'translation-note'),
    ),
  );
  const countAnswersOf = (model: string): number =>
    answers.filter(answer => answer.isComplete && answer.model === model)
      .length;
  const [quick, deep] = [countAnswersOf('quick'), countAnswersOf('deep')];
  return {
    isOk: quick > 0 && deep > 0 && quick + deep === answers.length,
    observed: `quick ${quick}, deep ${deep}`,
  };
}

async function checkBadRequests(deployment: Deployment): Promise<CheckResult> {
  const url = `${deployment.entries[0].callerUrl}/v1/generate`;
  const {apiKey} = deployment.organisations[0];
  const authorization = `Bearer ${apiKey}`;
  const cases = [
    {body: '{}', authorization: 'Bearer wrong', expected: 401},
    {body: '{broken', authorization, expected: 400},
    {body: '{"kind":"icebreaker"}', authorization, expected: 400},
    {body: '{"kind":"none","prompt":"x"}', authorization, expected: 404},
    {body: 'x'.repeat(1_100_000), authorization, expected: 413},
  ];
  const statuses: number[] = [];
  for (const {body, authorization: header} of cases) {
    const answer = await sendHttpRequest(url, {
      method: 'POST',
      headers: {authorization: header, 'content-type': 'application/json'},
      body,
    });
    statuses.push(answer.httpStatus);
  }
  return {
    isOk: cases.every((each, index) => each.expected === statuses[index]),
    observed: statuses.join(','),
  };
}

async function checkPlannedStop(deployment: Deployment): Promise<CheckResult> {
  const entry = deployment.entries[3];
  const {apiKey} = deployment.organisations[0];
  const inProgress = Array.from({length: 8}, (_, index) =>
    callGenerate({
      baseUrl: entry.callerUrl,
      apiKey,
      kind: 'icebreaker',
      prompt: `long ${index}`,
      maxTokens: 100,
    }),
  );
  await new Promise(resolve => setTimeout(resolve, 100));
  const stopping = deployment.group.stop(entry.process);
  const answers = await Promise.all(inProgress);
  const exitCode = await stopping;
  const summary = summarize(answers);
  return {
    isOk: summary.isOk && exitCode === 0,
    observed: `${summary.observed}, exit ${exitCode}`,
  };
}

function generateAtFirstEntry(
  deployment: Deployment,
  apiKey: string,
  kind: string,
): Promise<GenerateResult> {
  return callGenerate({
    baseUrl: deployment.entries[0].callerUrl,
    apiKey,
    kind,
    prompt: 'a question',
    maxTokens: 3,
  });
}

function summarize(answers: readonly GenerateResult[]): CheckResult {
  const completeCount = answers.filter(answer => answer.isComplete).length;
  const codes = [...new Set(answers.map(answer => answer.code))].join(',');
  return {
    isOk: completeCount === answers.length,
    observed: `${completeCount}/${answers.length} complete (${codes})`,
  };
}
