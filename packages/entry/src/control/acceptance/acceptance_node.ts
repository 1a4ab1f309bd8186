import {setMaxListeners} from 'node:events';
import {
  createEntryState,
  listDigests,
  resolveRoster,
  stepEntry,
  type EntryAction,
  type EntryEvent,
  type EntryState,
  type Member,
} from '@anvilrudder/core';
import {ContentCache, type LoadedContent} from './content_store.js';
import {HeadStore} from './head_store.js';
import {pause} from './timing.js';
import type {
  RulesEvent,
  ResolvedRulesManagerOptions,
} from './rules_manager_options.js';

/** Upper limit of the period at which `ticked` is dispatched. */
const MAX_TICK_PERIOD_MS = 100;
const TICKS_PER_EXCHANGE = 4;

/** Called with each action that a step requires. */
export type ActionListener = (action: EntryAction) => void;

/** The protocol state of this entry, shared by the components of a rules manager. */
export class AcceptanceNode {
  readonly contents: ContentCache;
  readonly headStore: HeadStore;
  readonly startedAtMs = performance.now();
  private readonly abort = new AbortController();
  private readonly actionListeners: ActionListener[] = [];
  private readonly changeListeners = new Set<() => void>();
  private currentState: EntryState;

  private constructor(readonly options: ResolvedRulesManagerOptions) {
    // Each call to a peer adds a listener, so Node.js would warn of a leak.
    setMaxListeners(0, this.abort.signal);
    this.contents = ContentCache.create(options.parse);
    this.headStore = HeadStore.create(options.store, options.storeTimeoutMs);
    this.currentState = createEntryState(options.self, options.acceptance);
  }

  static create(options: ResolvedRulesManagerOptions): AcceptanceNode {
    return new AcceptanceNode(options);
  }

  get state(): EntryState {
    return this.currentState;
  }

  /** Signal that is aborted when the rules manager stops. */
  get stopSignal(): AbortSignal {
    return this.abort.signal;
  }

  /** Reads this entry's monotonic clock. */
  nowMs(): number {
    return performance.now();
  }

  /**
   * Applies an event to the state, then notifies the waiting callers and passes
   * the resulting actions to the listeners.
   */
  dispatch(event: EntryEvent): void {
    const {state, actions} = stepEntry(this.currentState, event, this.nowMs());
    const isNewHead =
      state.knownHead?.sequence !== this.currentState.knownHead?.sequence;
    this.currentState = state;
    if (isNewHead) this.evictUnneededContents();
    for (const listener of [...this.changeListeners]) listener();
    for (const action of actions) {
      for (const listener of this.actionListeners) listener(action);
    }
  }

  /**
   * Parses and caches a rule file and records that it is loaded.
   *
   * @returns undefined when the file has errors.
   */
  addContent(text: string): LoadedContent | undefined {
    const content = this.contents.add(text);
    if (content !== undefined) {
      this.dispatch({kind: 'contentLoaded', digest: content.digest});
    }
    return content;
  }

  /** Registers a listener for the actions of all further steps. */
  onAction(listener: ActionListener): void {
    this.actionListeners.push(listener);
  }

  /** Reports an event to `onEvent`; fields that are left out are empty. */
  emit(event: Partial<RulesEvent> & Pick<RulesEvent, 'kind'>): void {
    this.options.onEvent({
      changeId: '',
      revision: 0,
      who: '',
      why: '',
      detail: '',
      ...event,
    });
  }

  /**
   * Lists the known members and joiners, except for those at the address of
   * this entry.
   */
  listPeers(): readonly Member[] {
    const {knownHead: known, joiners, self} = this.currentState;
    const roster = known === undefined ? [] : resolveRoster(known);
    const added = [...joiners.values()].map(joiner => joiner.member);
    return [...roster, ...added].filter(
      member => member.peerAddress !== self.peerAddress,
    );
  }

  /**
   * Waits until the condition holds. It is checked after each step.
   *
   * @returns false when it does not hold within `timeoutMs` milliseconds.
   */
  async waitFor(condition: () => boolean, timeoutMs: number): Promise<boolean> {
    if (condition()) return true;
    return new Promise(resolve => {
      const finish = (isMet: boolean): void => {
        clearTimeout(timer);
        this.changeListeners.delete(check);
        resolve(isMet);
      };
      const check = (): void => {
        if (condition()) finish(true);
      };
      const timer = setTimeout(() => finish(condition()), timeoutMs);
      this.changeListeners.add(check);
    });
  }

  /**
   * Dispatches `ticked` periodically, so that decisions that become due are
   * made and expired grants and joiners are dropped.
   */
  async runTickLoop(): Promise<void> {
    const periodMs = Math.min(
      MAX_TICK_PERIOD_MS,
      this.options.exchangePeriodMs / TICKS_PER_EXCHANGE,
    );
    while (!this.stopSignal.aborted) {
      this.dispatch({kind: 'ticked'});
      await pause(periodMs, this.stopSignal);
    }
  }

  /** Aborts the stop signal, which ends the loops and the calls to peers. */
  stop(): void {
    this.abort.abort();
  }

  private evictUnneededContents(): void {
    const {knownHead: known, activeHead: active} = this.currentState;
    if (known === undefined) return;
    const needed = new Set([
      ...listDigests(known),
      ...(active === undefined ? [] : listDigests(active)),
    ]);
    for (const digest of this.contents.evictUnneeded(needed)) {
      this.dispatch({kind: 'contentDropped', digest});
    }
  }
}
