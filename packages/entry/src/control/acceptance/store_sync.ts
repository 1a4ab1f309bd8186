import {hasMember, parseHead, type RulesHead} from '@anvilrudder/core';
import {writeContent} from './content_store.js';
import type {StoredHead} from './head_store.js';
import type {AcceptanceNode} from './acceptance_node.js';
import {selectWatchers} from './selection.js';
import {Backoff, pause} from './timing.js';

/**
 * Fraction of `freshnessMs`. An entry that is not a watcher reads the head from
 * the store when its last confirmation is older than that.
 */
const MAX_CONFIRMATION_AGE_SHARE = 0.5;
/** Period at which a non-watcher checks whether it has become a watcher. */
const WATCHER_CHECK_PERIOD_MS = 1_000;

/** Synchronises the known head with the store. */
export class StoreSync {
  private constructor(private readonly node: AcceptanceNode) {}

  static create(node: AcceptanceNode): StoreSync {
    return new StoreSync(node);
  }

  /**
   * Reads the current head from the store and applies it to the state.
   *
   * @returns undefined while the store has no head.
   */
  async readHead(): Promise<StoredHead | undefined> {
    const sentAtMs = this.node.nowMs();
    const stored = await this.node.headStore.read();
    if (stored !== undefined) {
      const {head} = stored;
      this.node.dispatch({kind: 'storeAnswered', head, sentAtMs});
    }
    return stored;
  }

  /**
   * Confirms the head with the store in each period in which this entry has to:
   * as a watcher, or when its last confirmation is too old. Creates the first
   * head if there is none.
   */
  async runConfirmLoop(): Promise<void> {
    const {options, stopSignal} = this.node;
    const backoff = Backoff.create(
      options.confirmPeriodMs,
      options.maxBackoffMs,
      options.random,
    );
    while (!stopSignal.aborted) {
      let waitMs = options.confirmPeriodMs;
      try {
        if (this.mustConfirm()) await this.confirm();
        backoff.reset();
      } catch (error) {
        waitMs = backoff.recordFailure();
        this.node.emit({kind: 'storeFailed', detail: String(error)});
      }
      await pause(waitMs, stopSignal);
    }
  }

  /** Watches the head at the store while this entry is one of the watchers. */
  async runWatchLoop(): Promise<void> {
    const {options, stopSignal} = this.node;
    const backoff = Backoff.create(
      options.confirmPeriodMs,
      options.maxBackoffMs,
      options.random,
    );
    let afterVersion: number | undefined;
    while (!stopSignal.aborted) {
      if (!this.isWatcher()) {
        afterVersion = undefined;
        await pause(WATCHER_CHECK_PERIOD_MS, stopSignal);
        continue;
      }
      try {
        afterVersion ??= (await this.readHead())?.version;
        afterVersion = await this.watchOnce(afterVersion ?? 0);
        backoff.reset();
      } catch {
        afterVersion = undefined;
        await pause(backoff.recordFailure(), stopSignal);
      }
    }
  }

  private async watchOnce(afterVersion: number): Promise<number> {
    const {options, stopSignal, headStore} = this.node;
    const page = await headStore.watch(
      afterVersion,
      options.watchTimeoutMs,
      stopSignal,
    );
    for (const {value} of page.events) {
      const head = value === undefined ? undefined : parseHead(value);
      if (head !== undefined) this.node.dispatch({kind: 'headLearned', head});
    }
    return page.storeVersion;
  }

  private async confirm(): Promise<void> {
    const stored = await this.readHead();
    if (stored === undefined) await this.createFirstHead();
  }

  private async createFirstHead(): Promise<void> {
    const {options, state} = this.node;
    if (options.initialRules === undefined || state.knownHead !== undefined)
      return;
    const content = this.node.addContent(options.initialRules);
    if (content === undefined) return;
    await writeContent(this.node.headStore, content.digest, content.text);
    const head: RulesHead = {
      sequence: 1,
      rules: {revision: 1, digest: content.digest},
      members: [options.self],
      pending: undefined,
      recent: [],
    };
    const result = await this.node.headStore.create(head);
    await this.readHead();
    if (result.status !== 'written') return;
    this.node.emit({kind: 'headCreated', revision: 1, who: options.self.host});
  }

  private mustConfirm(): boolean {
    const {state, options} = this.node;
    if (state.confirmedAtMs === undefined || this.isWatcher()) return true;
    const ageMs = this.node.nowMs() - state.confirmedAtMs;
    return ageMs > options.acceptance.freshnessMs * MAX_CONFIRMATION_AGE_SHARE;
  }

  private isWatcher(): boolean {
    const {state, options} = this.node;
    if (state.knownHead === undefined) return false;
    const watchers = selectWatchers(state.knownHead, options.watcherCount);
    return hasMember(watchers, state.self);
  }
}
