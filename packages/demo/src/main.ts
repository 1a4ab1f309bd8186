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
      await waitForInterrupt(deployment);
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
    console.log(
      `${verdict} ${check.name.padEnd(NAME_WIDTH)} ${result.observed}`,
    );
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
    return {isOk: false, observed: String(error)};
  }
}

// Prints the addresses and credentials for use in another shell, and keeps the
// deployment running until SIGINT or SIGTERM.
async function waitForInterrupt(deployment: Deployment): Promise<void> {
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
    'The deployment is running; press Ctrl+C to stop it.',
  ];
  console.log(lines.join('\n'));
  await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
}

process.exitCode = (await main()) ? 0 : 1;
