import {randomUUID} from 'node:crypto';
import {ControlService, type ChangeOutcome} from '@anvilrudder/peers';
import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {OPERATOR_TOKEN} from './process_deployment.js';

const CALL_TIMEOUT_MS = 40_000;

/** A change of the rules to ask an entry for. */
export interface ChangeInput {
  readonly content: string;
  readonly baseRevision: number;
  /** Default a fresh one. */
  readonly changeId?: string;
  /** Hosts that the operator knows to have stopped. Default none. */
  readonly withoutHosts?: readonly string[];
}

/** Connects to the operators' service of an entry. */
export function connectOperator(
  peerAddress: string,
): Client<typeof ControlService> {
  const transport = createConnectTransport({
    baseUrl: `http://${peerAddress}`,
    httpVersion: '1.1',
    defaultTimeoutMs: CALL_TIMEOUT_MS,
    interceptors: [
      next => request => {
        request.header.set('authorization', `Bearer ${OPERATOR_TOKEN}`);
        return next(request);
      },
    ],
  });
  return createClient(ControlService, transport);
}

/** Applies a rule file at one entry. */
export async function applyRules(
  peerAddress: string,
  input: ChangeInput,
): Promise<ChangeOutcome> {
  const {content, baseRevision, changeId = randomUUID()} = input;
  const withoutHosts = [...(input.withoutHosts ?? [])];
  const {outcome} = await connectOperator(peerAddress).applyRules({
    changeId,
    why: 'test',
    content,
    baseRevision: BigInt(baseRevision),
    withoutHosts,
  });
  if (outcome === undefined) throw new Error('no outcome');
  return outcome;
}

/** Repeats a change at one entry until it is decided. */
export async function submitUntilDecided(
  peerAddress: string,
  input: ChangeInput & {readonly changeId: string},
): Promise<ChangeOutcome> {
  for (;;) {
    const outcome = await applyRules(peerAddress, input);
    if (outcome.state !== 'undecided') return outcome;
  }
}
