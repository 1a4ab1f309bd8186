import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {StoreReply, StoreStep} from '../../src/steps/store_step.js';
import type {StoredObject, WriteResult} from '../../src/types/object_store.js';

/** Contents of the object API, and writes that may still take effect. */
export interface StoreModel {
  readonly version: number;
  readonly objects: readonly StoredObject[];
  readonly lateWrites: readonly StoreStep[];
}

export const EMPTY_STORE: StoreModel = {
  version: 0,
  objects: [],
  lateWrites: [],
};

/** One process: a protocol that can be run again from its replies. */
export interface ExploredActor<Step, Reply> {
  readonly name: string;
  readonly start: () => Generator<Step, unknown, Reply>;
}

/** A deliberate fault of a protocol that its exploration must find. */
export interface ProtocolVariant<Step, Reply> {
  readonly rewriteStep?: (step: Step, actor: string) => Step;
  readonly rewriteReply?: (step: Step, reply: Reply) => Reply;
}

/** Runs a process with the faults of a variant. */
export function* injectFaults<Step, T, Reply>(
  process: Generator<Step, T, Reply>,
  variant: ProtocolVariant<Step, Reply>,
  actor = '',
): Generator<Step, T, Reply> {
  const rewriteStep = variant.rewriteStep ?? (step => step);
  const rewriteReply = variant.rewriteReply ?? ((_, reply) => reply);
  let state = process.next();
  while (!state.done) {
    const reply: Reply = yield rewriteStep(state.value, actor);
    state = process.next(rewriteReply(state.value, reply));
  }
  return state.value;
}

/** One way in which a step can go on. */
export interface Branch<World, Reply> {
  readonly label: string;
  readonly world: World;
  /** Undefined when the actor crashed. */
  readonly reply: Reply | undefined;
  readonly faultCount: number;
}

/** A state space: the world, its actors and what may befall them. */
export interface Exploration<World, Step, Reply> {
  readonly world: World;
  readonly actors: ReadonlyArray<ExploredActor<Step, Reply>>;
  readonly maxFaults: number;
  readonly listBranches: (
    world: World,
    step: Step,
    actor: number,
  ) => ReadonlyArray<Branch<World, Reply>>;
  /** Changes of the world that need no actor, such as a late write. */
  readonly listWorldChanges: (world: World) => readonly World[];
  /** Throws when a state must not occur; results are undefined until known. */
  readonly check: (
    world: World,
    results: readonly unknown[],
    isEnd: boolean,
  ) => void;
}

interface Node<World, Reply> {
  readonly world: World;
  readonly histories: ReadonlyArray<ReadonlyArray<Reply | 'crash'>>;
  readonly faultCount: number;
  readonly trace: readonly string[];
}

/**
 * Visits every interleaving of the actors' steps and of at most `maxFaults`
 * faults, and returns the number of distinct states.
 */
export function exploreStates<World, Step, Reply>(
  exploration: Exploration<World, Step, Reply>,
): number {
  const seen = new Set<string>();
  const stack = [createRoot(exploration)];
  for (let node = stack.pop(); node !== undefined; node = stack.pop()) {
    const {world, histories, faultCount} = node;
    const stateKey = JSON.stringify([world, histories, faultCount]);
    if (seen.has(stateKey)) continue;
    seen.add(stateKey);
    stack.push(...visit(exploration, node));
  }
  return seen.size;
}

/**
 * Takes `walkCount` random ways through a state space that is too large to be
 * visited whole.
 */
export function walkStates<World, Step, Reply>(
  exploration: Exploration<World, Step, Reply>,
  walkCount: number,
  seed: number,
): void {
  const generator = xoroshiro128plus(seed);
  for (let walk = 0; walk < walkCount; walk++) {
    let nodes: Array<Node<World, Reply>> = [createRoot(exploration)];
    while (nodes.length > 0) {
      const index = uniformInt(generator, 0, nodes.length - 1);
      nodes = visit(exploration, nodes[index]);
    }
  }
}

function createRoot<World, Step, Reply>(
  exploration: Exploration<World, Step, Reply>,
): Node<World, Reply> {
  const histories = exploration.actors.map(() => []);
  return {world: exploration.world, histories, faultCount: 0, trace: []};
}

/** Checks one state and lists the states that follow it. */
function visit<World, Step, Reply>(
  exploration: Exploration<World, Step, Reply>,
  node: Node<World, Reply>,
): Array<Node<World, Reply>> {
  const {actors, maxFaults} = exploration;
  const {world, histories, faultCount, trace} = node;
  const runs = actors.map((actor, i) => replay(actor, histories[i]));
  const isEnd = runs.every(run => run.step === undefined);
  const results = runs.map(run => run.result);
  try {
    exploration.check(world, results, isEnd);
  } catch (error) {
    throw new Error(`${String(error)}\n  ${trace.join('\n  ')}`);
  }
  const next = exploration.listWorldChanges(world).map(changed => ({
    ...node,
    world: changed,
    trace: [...trace, 'late write'],
  }));
  runs.forEach((run, i) => {
    if (run.step === undefined) return;
    for (const branch of exploration.listBranches(world, run.step, i)) {
      if (faultCount + branch.faultCount > maxFaults) continue;
      const entry = branch.reply ?? 'crash';
      next.push({
        world: branch.world,
        histories: histories.map((h, j) => (j === i ? [...h, entry] : h)),
        faultCount: faultCount + branch.faultCount,
        trace: [...trace, `${actors[i].name}: ${branch.label}`],
      });
    }
  });
  return next;
}

interface Replay<Step> {
  readonly step: Step | undefined;
  readonly result: unknown;
}

function replay<Step, Reply>(
  actor: ExploredActor<Step, Reply>,
  history: ReadonlyArray<Reply | 'crash'>,
): Replay<Step> {
  const generator = actor.start();
  let state = generator.next();
  for (const entry of history) {
    if (entry === 'crash') return {step: undefined, result: 'crashed'};
    state = generator.next(entry as Reply);
  }
  return state.done
    ? {step: undefined, result: state.value}
    : {step: state.value, result: undefined};
}

/** Carries out one call without a fault. */
export function applyStoreStep(
  store: StoreModel,
  step: StoreStep,
): {store: StoreModel; reply: StoreReply} {
  if (step.kind === 'get') {
    const object = store.objects.find(o => o.key === step.key);
    return {store, reply: {kind: 'object', object}};
  }
  if (step.kind === 'list') {
    const objects = store.objects.filter(o => o.key.startsWith(step.prefix));
    const page = {objects, storeVersion: store.version, nextAfter: undefined};
    return {store, reply: {kind: 'page', page}};
  }
  const current = store.objects.find(o => o.key === step.key);
  const {condition} = step;
  const isAllowed =
    condition.kind === 'any' ||
    (condition.kind === 'absent'
      ? current === undefined
      : current?.version === condition.version);
  if (!isAllowed) {
    const result: WriteResult = {status: 'conflict', current};
    return {store, reply: {kind: 'write', result}};
  }
  const version = store.version + 1;
  const others = store.objects.filter(o => o.key !== step.key);
  const objects =
    step.kind === 'delete'
      ? others
      : [...others, {key: step.key, version, value: step.value}].sort((a, b) =>
          a.key < b.key ? -1 : 1,
        );
  return {
    store: {...store, version, objects},
    reply: {kind: 'write', result: {status: 'written', version}},
  };
}

/** Every way one call to the object API can go. */
export function listStoreBranches(
  store: StoreModel,
  step: StoreStep,
): ReadonlyArray<Branch<StoreModel, StoreReply>> {
  const applied = applyStoreStep(store, step);
  const label = `${step.kind} ${'key' in step ? step.key : step.prefix}`;
  const isWrite = step.kind === 'put' || step.kind === 'delete';
  const unknown: StoreReply = {kind: 'failed', execution: 'unknown'};
  const notRun: StoreReply = {kind: 'failed', execution: 'notRun'};
  const good = {
    label,
    world: applied.store,
    reply: applied.reply,
    faultCount: 0,
  };
  const refused = {
    label: `${label} refused`,
    world: store,
    reply: notRun,
    faultCount: 1,
  };
  const crashed = {
    label: `${label} crash before`,
    world: store,
    reply: undefined,
    faultCount: 1,
  };
  if (!isWrite) return [good, refused, crashed];
  const late = {...store, underWay: [...store.lateWrites, step]};
  return [
    good,
    refused,
    crashed,
    {...good, label: `${label} crash after`, reply: undefined, faultCount: 1},
    {...good, label: `${label} answer lost`, reply: unknown, faultCount: 1},
    {label: `${label} late`, world: late, reply: unknown, faultCount: 1},
  ];
}

/** The states after one of the late writes has arrived. */
export function applyLateWrites(store: StoreModel): readonly StoreModel[] {
  return store.lateWrites.map((step, i) => {
    const underWay = store.lateWrites.filter((_, j) => j !== i);
    return {...applyStoreStep(store, step).store, underWay};
  });
}
