// The open connections to the store go silent on all machines, then the operator
// moves a route to another service and withdraws a key.
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {call} from '../lib/client.mjs';
import {Link} from '../lib/link.mjs';
import {createConfig, HAS_TROUBLE, playCase} from '../lib/testbed.mjs';

const RECORD_FILE = join(dirname(fileURLToPath(import.meta.url)), 'record.txt');
const GATEWAY_COUNT = 4;
/** By then the hosts know each other and their watches have their usual wait. */
const SETTLE_MS = 24_000;
/** Bounds of the Penbridge sheet. */
const STABLE_WINDOW_MS = 3000;
const CONFIG_APPLY_MS = 2000;
/** The check begins this long after both bounds have passed. */
const MARGIN_MS = 100;
const CHECK_MS = 6000;
const GAP_MS = 100;

/** The route of the confirmations moves to `desk-2`. */
function createMovedConfig(tenants) {
  const {routes, services, ...rest} = createConfig(2, {tenants});
  return {
    ...rest,
    routes: routes.map(route =>
      route.name === 'confirm' ? {...route, service: 'desk-2'} : route,
    ),
    services: [
      ...services,
      {name: 'desk-2', healthPath: '/healthz', maxConnections: 96},
    ],
  };
}

await playCase(RECORD_FILE, async testbed => {
  const {record} = testbed;
  const tenants = [
    {name: 'school-1', apiKeys: ['key-1'], priority: 1},
    {name: 'school-2', apiKeys: ['key-2'], priority: 1},
  ];
  const store = await testbed.startStore(createConfig(1, {tenants}));
  const oldDesk = await testbed.startRunner({id: 'i-desk', service: 'desk'});
  await testbed.startRunner({id: 'i-desk-2', service: 'desk-2'});
  const links = [];
  for (let n = 1; n <= GATEWAY_COUNT; n += 1) {
    const link = await Link.start(store.port);
    links.push(link);
    testbed.parts.push(link);
    await testbed.startGateway(`edge-${n}`, link.port);
  }
  await delay(SETTLE_MS);
  const silentMs = performance.now();
  if (HAS_TROUBLE) {
    record('the open connections to the store go silent');
    for (const link of links) link.silenceOpenConnections();
  }
  await delay(200);
  store.put('config', 'main', createMovedConfig(tenants.slice(0, 1)));
  const acknowledgedMs = performance.now();
  record('the store acknowledges the new configuration');
  const checkFromMs = Math.max(
    silentMs + STABLE_WINDOW_MS,
    acknowledgedMs + CONFIG_APPLY_MS,
  );
  await delay(checkFromMs + MARGIN_MS - performance.now());
  const calls = [];
  const endMs = performance.now() + CHECK_MS;
  for (let n = 1; performance.now() < endMs; n += 1) {
    for (const {name, callersPort} of testbed.gateways) {
      const key = n % 2 === 0 ? 'key-1' : 'key-2';
      calls.push(
        call({
          port: callersPort,
          id: `${name}-${n}-${key}`,
          path: '/confirm/a',
          key,
          record,
        }),
      );
    }
    await delay(GAP_MS);
  }
  await Promise.all(calls);
  return oldDesk.runs.map(({requestId}) => {
    const isWithdrawn = requestId.endsWith('key-2');
    const extra = isWithdrawn ? ', with a dropped key' : '';
    return `CONFIG ${requestId}: run by the old service${extra}`;
  });
});
