#!/usr/bin/env node
import {CHECKS, type CheckResult} from './checks.js';
import {startDeployment, type Deployment} from './deployment.js';

const NAME_WIDTH = 46;

async function main(): Promise<boolean> {
  const deployment = await startDeployment();
  let isOk = true;
  try {
    for (const check of CHECKS) {
      const result = await runCheck(check.run, deployment);
      isOk &&= result.isOk;
      const verdict = result.isOk ? 'ok  ' : 'FAIL';
      console.log(`${verdict} ${check.name.padEnd(NAME_WIDTH)} ${result.seen}`);
    }
  } finally {
    await deployment.group.killAll();
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

process.exitCode = (await main()) ? 0 : 1;
