import {create} from '@bufbuild/protobuf';
import {
  createClient,
  type ServiceImpl,
  type Transport,
} from '@connectrpc/connect';
import {
  decodeEvidence,
  encodeEvidence,
  type EvidenceDelta,
  type LimitHeartbeat,
  type Ruling,
} from '@anvilrudder/core';
import {
  ShareService,
  SharedFactsSchema,
  type SharedFacts as SharedFactsMessage,
} from '../gen/anvilrudder/v1/share_pb.js';

/** Facts that one entry sends to another, on which its decisions depend. */
export interface SharedFacts {
  readonly evidence: EvidenceDelta;
  readonly rulings: readonly Ruling[];
  readonly limitUse: LimitHeartbeat;
  /** Names of the backend servers that report themselves as draining. */
  readonly leavingServers: readonly string[];
  /** Step of each rollout, by `model@version`. */
  readonly rolloutSteps: ReadonlyMap<string, number>;
}

/**
 * Creates the handlers of the share service.
 *
 * @param exchange merges the facts of the caller and returns the facts of this
 *   entry; `seenRevision` is the revision up to which the caller has merged the
 *   evidence of this entry.
 * @example
 * ```ts
 * router.service(ShareService, createShareHandlers(facts => merge(facts)));
 * ```
 */
export function createShareHandlers(
  exchange: (facts: SharedFacts, seenRevision: number) => SharedFacts,
): ServiceImpl<typeof ShareService> {
  return {
    share: ({facts, seenRevision}) => ({
      facts: encodeFacts(exchange(decodeFacts(facts), Number(seenRevision))),
    }),
  };
}

/**
 * Creates a function that exchanges facts with a peer.
 *
 * @returns a function that rejects with a ConnectError if the peer does not
 *   answer.
 * @example
 * ```ts
 * const theirs = await createShareClient(transport)(ours, seenRevision);
 * ```
 */
export function createShareClient(
  transport: Transport,
): (facts: SharedFacts, seenRevision: number) => Promise<SharedFacts> {
  const client = createClient(ShareService, transport);
  return async (facts, seenRevision) => {
    const response = await client.share({
      facts: encodeFacts(facts),
      seenRevision: BigInt(seenRevision),
    });
    return decodeFacts(response.facts);
  };
}

function encodeFacts(facts: SharedFacts): SharedFactsMessage {
  return create(SharedFactsSchema, {
    evidence: encodeEvidence(facts.evidence),
    rulings: [...facts.rulings],
    limitUse: {
      member: facts.limitUse.member,
      uses: [...facts.limitUse.uses],
    },
    leavingServers: [...facts.leavingServers],
    rolloutSteps: Object.fromEntries(facts.rolloutSteps),
  });
}

function decodeFacts(message: SharedFactsMessage | undefined): SharedFacts {
  const facts = message ?? create(SharedFactsSchema);
  return {
    evidence:
      facts.evidence === ''
        ? {rows: [], revision: 0}
        : decodeEvidence(facts.evidence),
    rulings: facts.rulings.flatMap(ruling =>
      ruling.state === 'stopped' || ruling.state === 'allowed'
        ? [{...ruling, state: ruling.state}]
        : [],
    ),
    limitUse: {
      member: facts.limitUse?.member ?? '',
      uses: facts.limitUse?.uses ?? [],
    },
    leavingServers: facts.leavingServers,
    rolloutSteps: new Map(Object.entries(facts.rolloutSteps)),
  };
}
