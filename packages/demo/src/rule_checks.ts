import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {callGenerate, sendHttpRequest} from './caller.js';
import type {CheckResult} from './checks.js';
import type {Deployment} from './deployment.js';

const CLI = join(
  dirname(fileURLToPath(import.meta.url)),
  '../../../cli/dist/src/main.js',
);
const LOAD_WORKERS = 8;
const LOAD_AFTER_ACCEPTANCE_MS = 500;
const ROLLOUT_REQUESTS = 40;
const IN_FORCE_TIMEOUT_MS = 12_000;
const POLL_MS = 50;

interface CliResult {
  readonly exitCode: number | null;
  readonly output: string;
}

/**
 * Rolls out the next version of a model to half of its new requests, and checks
 * that every entry follows.
 */
export async function checkRollout(
  deployment: Deployment,
): Promise<CheckResult> {
  const rules = readFileSync(deployment.rulesFile, 'utf8');
  const edited = rules.replace('share=0%', 'share=50%');
  const applied = await applyRules(deployment, 'half.rules', edited, [
    '--why',
    'half of the new work on v2',
    '--base',
    '1',
  ]);
  await waitForRevision(deployment, 2);
  const counts = await Promise.all(
    deployment.entries.map(({callerUrl}) =>
      countV2Answers(deployment, callerUrl),
    ),
  );
  return {
    isOk: applied.exitCode === 0 && counts.every(count => count > 0),
    observed: `exit ${describeExit(applied)}, v2 ${counts.join('/')} of ${ROLLOUT_REQUESTS}`,
  };
}

/** Applies a rule file whose base revision is no longer in force. */
export async function checkOutdatedBase(
  deployment: Deployment,
): Promise<CheckResult> {
  const rules = readFileSync(deployment.rulesFile, 'utf8');
  const applied = await applyRules(deployment, 'rival.rules', rules, [
    '--why',
    'an edit of the first revision',
    '--base',
    '1',
  ]);
  return {
    isOk: applied.exitCode === 1,
    observed: `exit ${describeExit(applied)}`,
  };
}

/**
 * Withdraws a version while requests run at every entry. After the acceptance,
 * no engine may execute a request at the version, and no request may fail.
 */
export async function checkWithdrawal(
  deployment: Deployment,
): Promise<CheckResult> {
  let isLoadStopped = false;
  let answered = 0;
  const failures = new Map<string, number>();
  const workers = Array.from({length: LOAD_WORKERS}, async (_, index) => {
    const entry = deployment.entries[index % deployment.entries.length];
    while (!isLoadStopped) {
      const answer = await callGenerate({
        baseUrl: entry.callerUrl,
        apiKey: deployment.organisations[0].apiKey,
        kind: 'icebreaker',
        prompt: `load ${index}`,
        maxTokens: 4,
      });
      if (answer.isComplete) answered += 1;
      else failures.set(answer.code, (failures.get(answer.code) ?? 0) + 1);
    }
  });
  const rules = readFileSync(deployment.rulesFile, 'utf8');
  const edited = `${rules.replace('share=0%', 'share=50%')}\nwithdraw model=quick version=v2 # mina: bad ratings\n`;
  const applied = await applyRules(deployment, 'withdraw.rules', edited, [
    '--why',
    'bad ratings of v2',
    '--base',
    '2',
  ]);
  const executionsAtAcceptance = await countExecutions(deployment, 'quick@v2');
  await new Promise(resolve => setTimeout(resolve, LOAD_AFTER_ACCEPTANCE_MS));
  isLoadStopped = true;
  await Promise.all(workers);
  const executionsAfter =
    (await countExecutions(deployment, 'quick@v2')) - executionsAtAcceptance;
  return {
    isOk:
      applied.exitCode === 0 &&
      executionsAfter === 0 &&
      failures.size === 0 &&
      answered > 0,
    observed: `exit ${describeExit(applied)}, ${executionsAfter} after acceptance, ${answered} answered, failed ${JSON.stringify([...failures])}`,
  };
}

/** Runs `explain`, which tells the version for a request and the rules used. */
export async function checkExplain(
  deployment: Deployment,
): Promise<CheckResult> {
  const {exitCode, output} = await runCli(deployment, [
    'explain',
    '--organisation',
    'colombo-one',
    '--kind',
    'casting-brief',
  ]);
  return {
    isOk: exitCode === 0 && output.includes('dilani'),
    observed: `exit ${exitCode}`,
  };
}

/** Checks that the audit trail contains the change made by the withdrawal. */
export async function checkAudit(deployment: Deployment): Promise<CheckResult> {
  const {exitCode, output} = await runCli(deployment, ['audit', '--json']);
  const isRecorded =
    output.includes('bad ratings of v2') && output.includes('"mina"');
  const isOk = exitCode === 0 && isRecorded;
  return {isOk, observed: isOk ? 'exit 0' : `exit ${exitCode}: ${output}`};
}

// Shows the last line of the output only if the command failed.
function describeExit({exitCode, output}: CliResult): string {
  const lastLine = output.trim().split('\n').at(-1);
  return exitCode === 0 ? '0' : `${exitCode} (${lastLine})`;
}

function applyRules(
  deployment: Deployment,
  name: string,
  content: string,
  options: readonly string[],
): Promise<CliResult> {
  const file = join(deployment.folder, name);
  writeFileSync(file, content);
  return runCli(deployment, ['rules', 'apply', file, ...options]);
}

async function runCli(
  deployment: Deployment,
  args: readonly string[],
): Promise<CliResult> {
  const child = spawn(process.execPath, [CLI, ...args], {
    env: {
      ...process.env,
      ANVILRUDDER_ENTRIES: deployment.entries
        .map(entry => entry.peerUrl)
        .join(','),
      ANVILRUDDER_TOKEN: deployment.operatorToken,
    },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => (output += chunk.toString()));
  child.stderr.on('data', (chunk: Buffer) => (output += chunk.toString()));
  const [exitCode] = (await once(child, 'close')) as [number | null];
  return {exitCode, output};
}

async function waitForRevision(
  deployment: Deployment,
  revision: number,
): Promise<void> {
  const timeoutAtMs = performance.now() + IN_FORCE_TIMEOUT_MS;
  for (const {callerUrl} of deployment.entries) {
    for (;;) {
      const {body} = await sendHttpRequest(`${callerUrl}/readyz`);
      const ready = JSON.parse(body) as {readonly revision: number};
      if (ready.revision >= revision) break;
      if (performance.now() > timeoutAtMs) {
        throw new Error(
          `revision ${revision} did not come into force at every entry in time`,
        );
      }
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }
}

async function countV2Answers(
  deployment: Deployment,
  baseUrl: string,
): Promise<number> {
  const answers = await Promise.all(
    Array.from({length: ROLLOUT_REQUESTS}, (_, index) =>
      callGenerate({
        baseUrl,
        apiKey: deployment.organisations[0].apiKey,
        kind: 'icebreaker',
        prompt: `roll-out ${index}`,
        maxTokens: 2,
      }),
    ),
  );
  return answers.filter(answer => answer.version === 'v2').length;
}

async function countExecutions(
  deployment: Deployment,
  version: string,
): Promise<number> {
  await waitForRevision(deployment, 2);
  const counts = await Promise.all(
    deployment.engineUrls.map(async url => {
      const {body} = await sendHttpRequest(`${url}/admin/counters`);
      const counters = JSON.parse(body) as {
        readonly executionsByVersion: Readonly<Record<string, number>>;
      };
      return counters.executionsByVersion[version] ?? 0;
    }),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}
