import {randomUUID} from 'node:crypto';
import {ControlService, type ChangeOutcome} from '@anvilrudder/peers';
import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {OPERATOR_TOKEN} from './process_deployment.js';

const CALL_TIMEOUT_MS = 40_000;

/** A change of the rules to submit to an entry. */
export interface ChangeInput {
  readonly content: string;
  readonly baseRevision: number;
  /** Default a new random id. */
  readonly changeId?: string;
  /** Hosts that the operator knows to have stopped. Default none. */
  readonly withoutHosts?: readonly string[];
}

/** Creates a client of the control service of an entry. */
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

/** Applies a rule file through one entry. */
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
  if (outcome === undefined)
    throw new Error('the response contains no outcome');
  return outcome;
}

/** Submits a change to one entry repeatedly until it is decided. */
export async function submitUntilDecided(
  peerAddress: string,
  input: ChangeInput & {readonly changeId: string},
): Promise<ChangeOutcome> {
  for (;;) {
    const outcome = await applyRules(peerAddress, input);
    if (outcome.state !== 'undecided') return outcome;
  }
}
