import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {Logger, MetricRegistry} from '@anvilrudder/observability';
import {HttpObjectStore} from '@anvilrudder/platform';
import type {Settings} from '../config/settings_schema.js';
import type {BillingSink, ClaimRunner} from '../entry_context.js';
import {listen} from '../server/listen.js';
import {createClaimRunner} from './claim_runner.js';
import {createClaimKeeper} from './claims/claim_keeper.js';
import {
  MAX_CONTROL_REQUEST_BYTES,
  createControlRoutes,
} from './operators/index.js';
import {createPollingRulesKeeper} from './polling_rules_keeper.js';
import type {RulesKeeper} from './rules_keeper.js';

/** Options of {@link startControl}. */
export interface StartControlOptions {
  readonly settings: Settings;
  readonly logger: Logger;
  readonly metrics: MetricRegistry;
}

/** The control parts of a running entry. */
export interface Control {
  readonly keeper: RulesKeeper;
  readonly claims: ClaimRunner;
  readonly billing: BillingSink;
  readonly peerAddress: string;
  stop(): Promise<void>;
}

/**
 * Starts the control parts of an entry and its server for other entries and
 * operators.
 *
 * @example
 * ```ts
 * const control = await startControl({settings, logger, metrics});
 * ```
 */
export async function startControl(
  options: StartControlOptions,
): Promise<Control> {
  const {settings, logger} = options;
  const store = HttpObjectStore.create({
    baseUrl: settings.platform.objectsUrl,
    timeoutMs: settings.platform.callTimeoutMs,
  });
  const keeper = await createPollingRulesKeeper({
    store,
    logger,
    freshnessMs: settings.rules.freshnessMs,
    initialContent: readInitialRules(settings),
  });
  const claimKeeper = createClaimKeeper({
    store,
    member: {host: settings.host, incarnation: randomUUID()},
  });
  const server = createServer(
    connectNodeAdapter({
      routes: createControlRoutes({
        host: settings.host,
        keeper,
        audit: {list: async () => []},
        operatorTokens: settings.operators.map(({name, tokenSha256}) => ({
          name,
          sha256: tokenSha256,
        })),
      }),
      readMaxBytes: MAX_CONTROL_REQUEST_BYTES,
    }),
  );
  const peerAddress = await listen(server, settings.peer);
  return {
    keeper,
    claims: createClaimRunner(claimKeeper),
    billing: {record: async () => undefined},
    peerAddress,
    async stop() {
      claimKeeper.stop();
      await keeper.stop();
      server.close();
      server.closeAllConnections();
    },
  };
}

function readInitialRules(settings: Settings): string | undefined {
  const {initialFile} = settings.rules;
  return initialFile === undefined
    ? undefined
    : readFileSync(initialFile, 'utf8');
}
