import {createHash} from 'node:crypto';
import {
  parseRules,
  type ObjectStore,
  type RuleSet,
  type StoredObject,
} from '@anvilrudder/core';
import type {Logger} from '@anvilrudder/observability';
import type {
  ApplyRulesRequest,
  ChangeOutcome,
  RulesKeeper,
} from './rules_keeper.js';

const HEAD_KEY = 'rules/head';
const POLL_MS = 200;

/** Options of {@link createPollingRulesKeeper}. */
export interface PollingRulesKeeperOptions {
  readonly store: ObjectStore;
  readonly logger: Logger;
  /** Time without a confirmed read after which nothing is dispatched. */
  readonly freshnessMs: number;
  /** Text of revision 1, used when the store holds no rules. */
  readonly initialContent: string | undefined;
}

interface Head {
  readonly revision: number;
  readonly changeId: string;
  readonly content: string;
}

interface Known {
  readonly head: Head;
  readonly rules: RuleSet;
  readonly storeVersion: number;
}

/**
 * Creates a keeper that polls one object and stops serving when it could not
 * read it for a while. It is the baseline that the acknowledged protocol is
 * measured against: a change is in force within the freshness bound.
 *
 * @example
 * ```ts
 * const keeper = await createPollingRulesKeeper({store, logger, freshnessMs: 4000});
 * ```
 */
export async function createPollingRulesKeeper(
  options: PollingRulesKeeperOptions,
): Promise<RulesKeeper> {
  const {store, logger, freshnessMs} = options;
  let known: Known | undefined;
  let confirmedAtMs = -Infinity;
  let isStopped = false;

  function learn(object: StoredObject | undefined, sentAtMs: number): void {
    if (object === undefined) return;
    if (known !== undefined && object.version < known.storeVersion) return;
    if (known === undefined || object.version > known.storeVersion) {
      const head = JSON.parse(object.value) as Head;
      const {rules} = parseRules(head.content);
      if (rules === undefined) return;
      known = {head, rules, storeVersion: object.version};
      logger.info('rules_learned', {revision: head.revision});
    }
    confirmedAtMs = sentAtMs;
  }

  async function refresh(): Promise<void> {
    const sentAtMs = performance.now();
    try {
      learn(await store.get(HEAD_KEY), sentAtMs);
    } catch (error) {
      logger.warn('rules_read_failed', {reason: (error as Error).message});
    }
  }

  async function poll(): Promise<void> {
    while (!isStopped) {
      await refresh();
      await new Promise(resolve => setTimeout(resolve, POLL_MS).unref());
    }
  }

  async function apply(request: ApplyRulesRequest): Promise<ChangeOutcome> {
    const {rules, findings} = parseRules(request.content);
    const refuse = (reason: string): ChangeOutcome => ({
      changeId: request.changeId,
      state: 'refused',
      revision: known?.head.revision ?? 0,
      reason,
      findings,
      silentHosts: [],
    });
    if (rules === undefined) return refuse('the rule file has findings');
    await refresh();
    const revision = known?.head.revision ?? 0;
    if (revision !== request.baseRevision) {
      return refuse(`the rules are at revision ${revision}`);
    }
    const head: Head = {
      revision: revision + 1,
      changeId: request.changeId,
      content: request.content,
    };
    const result = await store.put(
      HEAD_KEY,
      JSON.stringify(head),
      known === undefined
        ? {kind: 'absent'}
        : {kind: 'version', version: known.storeVersion},
    );
    if (result.status === 'conflict')
      return refuse('another change came first');
    await refresh();
    return {...refuse(''), state: 'accepted', revision: head.revision};
  }

  await refresh();
  if (known === undefined && options.initialContent !== undefined) {
    await apply({
      changeId: 'initial',
      who: 'settings',
      why: 'first start of the deployment',
      content: options.initialContent,
      baseRevision: 0,
      withoutHosts: [],
    });
  }
  void poll();
  return {
    inForce() {
      const isFresh = performance.now() - confirmedAtMs <= freshnessMs;
      if (known === undefined || !isFresh) return undefined;
      return {
        revision: known.head.revision,
        rules: known.rules,
        pendingRules: undefined,
      };
    },
    apply,
    async findChange(changeId) {
      await refresh();
      if (known?.head.changeId !== changeId) return undefined;
      return {
        changeId,
        state: 'accepted',
        revision: known.head.revision,
        reason: '',
        findings: [],
        silentHosts: [],
      };
    },
    content: () => known?.head.content ?? '',
    status: () => ({
      revision: known?.head.revision ?? 0,
      digest: createHash('sha256')
        .update(known?.head.content ?? '')
        .digest('hex'),
      pendingChangeId: undefined,
      isServing: performance.now() - confirmedAtMs <= freshnessMs,
      servesBy: 'store',
      confirmedAgeMs: performance.now() - confirmedAtMs,
      members: [],
    }),
    async stop() {
      isStopped = true;
    },
  };
}
