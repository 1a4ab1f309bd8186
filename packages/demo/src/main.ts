#!/usr/bin/env node
import {once} from 'node:events';
import {CHECKS, type CheckResult} from './checks.js';
import {startDeployment, type Deployment} from './deployment.js';

const NAME_WIDTH = 46;
const HOLD_FLAG = '--hold';

async function main(): Promise<boolean> {
  const deployment = await startDeployment();
  try {
    if (process.argv.includes(HOLD_FLAG)) {
      await hold(deployment);
      return true;
    }
    return await runChecks(deployment);
  } finally {
    await deployment.group.killAll();
  }
}

async function runChecks(deployment: Deployment): Promise<boolean> {
  let isOk = true;
  for (const check of CHECKS) {
    const result = await runCheck(check.run, deployment);
    isOk &&= result.isOk;
    const verdict = result.isOk ? 'ok  ' : 'FAIL';
    console.log(`${verdict} ${check.name.padEnd(NAME_WIDTH)} ${result.seen}`);
  }
  return isOk;
}

async function runCheck(
  run: (deployment: Deployment) => Promise<CheckResult>,
  deployment: Deployment,
): Promise<CheckResult> {
  try {
    return await run(deployment);
  } catch (error) {
    return {isOk: false, seen: String(error)};
  }
}

// Keeps the deployment up for commands of a reader, until it is interrupted.
async function hold(deployment: Deployment): Promise<void> {
  const peerUrls = deployment.entries.map(entry => entry.peerUrl);
  const lines = [
    ...deployment.entries.map(({host, callerUrl}) => `${host} ${callerUrl}`),
    ...deployment.engineUrls.map(url => `engine ${url}`),
    `booking ${deployment.bookingUrl}`,
    ...deployment.organisations.map(
      ({name, apiKey}) => `api key of ${name}: ${apiKey}`,
    ),
    `export ANVILRUDDER_ENTRIES=${peerUrls.join(',')}`,
    `export ANVILRUDDER_TOKEN=${deployment.operatorToken}`,
    `rules: ${deployment.rulesFile}`,
    'holding; interrupt to stop',
  ];
  console.log(lines.join('\n'));
  await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
}

process.exitCode = (await main()) ? 0 : 1;
