import {callGenerate, callPlain, type GenerateAnswer} from './caller.js';
import type {Deployment} from './deployment.js';
import {
  checkAudit,
  checkExplain,
  checkRivalOperator,
  checkRollout,
  checkWithdrawal,
} from './rule_checks.js';

/** What one check of the demo saw. */
export interface CheckResult {
  readonly isOk: boolean;
  readonly seen: string;
}

/** One step of the demo. */
export interface Check {
  readonly name: string;
  readonly run: (deployment: Deployment) => Promise<CheckResult>;
}

const STREAM_TOKENS = 12;

/** The steps of the demo, in order. */
export const CHECKS: readonly Check[] = [
  {name: 'streams through all four entries', run: checkStreams},
  {name: 'a costly kind reaches the better model', run: checkModelByKind},
  {name: 'a session keeps its version across entries', run: checkSession},
  {name: 'a foreign session token is refused', run: checkForeignSession},
  {name: 'a confirmation sent twice runs once', run: checkConfirmation},
  {name: 'a kind between two models uses both', run: checkCascade},
  {name: 'bad requests get typed errors', run: checkBadRequests},
  {name: 'a roll-out takes effect at every entry', run: checkRollout},
  {
    name: 'a second operator on an old base is refused',
    run: checkRivalOperator,
  },
  {name: 'a withdrawal under load: zero requests after', run: checkWithdrawal},
  {name: 'explain names the rule, who asked and why', run: checkExplain},
  {name: 'the audit trail holds the changes', run: checkAudit},
  {name: 'a planned stop cuts no request', run: checkPlannedStop},
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
    ask(deployment, seoul.apiKey, 'match-reason'),
    ask(deployment, colombo.apiKey, 'casting-brief'),
    ask(deployment, seoul.apiKey, 'icebreaker'),
  ]);
  const models = answers.map(answer => answer.model).join(',');
  return {isOk: models === 'deep,deep,quick', seen: models};
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
  return {isOk: versions.size === 1, seen: [...versions].join(',')};
}

async function checkForeignSession(
  deployment: Deployment,
): Promise<CheckResult> {
  const [seoul, colombo] = deployment.organisations;
  const own = await ask(deployment, seoul.apiKey, 'icebreaker');
  const foreign = await callGenerate({
    baseUrl: deployment.entries[1].callerUrl,
    apiKey: colombo.apiKey,
    kind: 'scout-question',
    prompt: 'x',
    maxTokens: 1,
    session: own.session,
  });
  return {isOk: foreign.code === 'invalid_session', seen: foreign.code};
}

async function checkConfirmation(deployment: Deployment): Promise<CheckResult> {
  const {apiKey} = deployment.organisations[0];
  const answers = await Promise.all(
    deployment.entries.slice(0, 2).map(entry =>
      callPlain(`${entry.callerUrl}/v1/services/booking`, {
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
  const {body} = await callPlain(`${deployment.bookingUrl}/admin/executions`);
  const {byKey} = JSON.parse(body) as {byKey: Record<string, number>};
  const executions = Object.values(byKey).reduce((sum, n) => sum + n, 0);
  const statuses = answers.map(answer => answer.httpStatus).join(',');
  return {
    isOk: executions === 1,
    seen: `executions ${executions}, answers ${statuses}`,
  };
}

async function checkCascade(deployment: Deployment): Promise<CheckResult> {
  const {apiKey} = deployment.organisations[0];
  const answers = await Promise.all(
    Array.from({length: 40}, () => ask(deployment, apiKey, 'translation-note')),
  );
  const countOf = (model: string): number =>
    answers.filter(answer => answer.isWhole && answer.model === model).length;
  const [quick, deep] = [countOf('quick'), countOf('deep')];
  return {
    isOk: quick > 0 && deep > 0 && quick + deep === answers.length,
    seen: `quick ${quick}, deep ${deep}`,
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
    const answer = await callPlain(url, {
      method: 'POST',
      headers: {authorization: header, 'content-type': 'application/json'},
      body,
    });
    statuses.push(answer.httpStatus);
  }
  return {
    isOk: cases.every((each, index) => each.expected === statuses[index]),
    seen: statuses.join(','),
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
    seen: `${summary.seen}, exit ${exitCode}`,
  };
}

function ask(
  deployment: Deployment,
  apiKey: string,
  kind: string,
): Promise<GenerateAnswer> {
  return callGenerate({
    baseUrl: deployment.entries[0].callerUrl,
    apiKey,
    kind,
    prompt: 'a question',
    maxTokens: 3,
  });
}

function summarize(answers: readonly GenerateAnswer[]): CheckResult {
  const wholeCount = answers.filter(answer => answer.isWhole).length;
  const codes = [...new Set(answers.map(answer => answer.code))].join(',');
  return {
    isOk: wholeCount === answers.length,
    seen: `${wholeCount}/${answers.length} whole (${codes})`,
  };
}
