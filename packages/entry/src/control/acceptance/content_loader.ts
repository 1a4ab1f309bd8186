import {listMissingDigests} from '@anvilrudder/core';
import {
  FetchContentRequestSchema,
  encodeDigest,
  type PeerClient,
} from '@anvilrudder/peers';
import {create} from '@bufbuild/protobuf';
import {digestText, readContent} from './content_store.js';
import type {AcceptanceNode} from './acceptance_node.js';
import {selectRandom} from './selection.js';
import {Backoff, pause} from './timing.js';

/** Maximum number of peers asked for a rule file before the store is read. */
const MAX_PEER_ATTEMPTS = 2;
const RETRY_BASE_MS = 200;

/** Loads the rule files of the known head from peers or from the store. */
export class ContentLoader {
  private readonly loading = new Set<string>();
  private preferredAddress: string | undefined;

  private constructor(
    private readonly node: AcceptanceNode,
    private readonly client: PeerClient,
  ) {
    node.onAction(action => {
      if (action.kind === 'loadContent') this.startLoading(action.digest);
    });
  }

  static create(node: AcceptanceNode, client: PeerClient): ContentLoader {
    return new ContentLoader(node, client);
  }

  /** Sets the peer to ask first: the last one that sent a head. */
  setPreferredAddress(address: string): void {
    this.preferredAddress = address;
  }

  private startLoading(digest: string): void {
    if (this.loading.has(digest) || this.node.stopSignal.aborted) return;
    this.loading.add(digest);
    void this.load(digest).finally(() => this.loading.delete(digest));
  }

  private async load(digest: string): Promise<void> {
    const {options, stopSignal} = this.node;
    const backoff = Backoff.create(
      RETRY_BASE_MS,
      options.maxBackoffMs,
      options.random,
    );
    while (!stopSignal.aborted && this.isMissing(digest)) {
      const text = await this.fetch(digest);
      if (text !== undefined) {
        if (this.node.addContent(text) !== undefined) return;
        this.node.emit({kind: 'contentInvalid', detail: digest});
      }
      await pause(backoff.recordFailure(), stopSignal);
    }
  }

  private isMissing(digest: string): boolean {
    return listMissingDigests(this.node.state).includes(digest);
  }

  private async fetch(digest: string): Promise<string | undefined> {
    const cached = this.node.contents.get(digest);
    if (cached !== undefined) return cached.text;
    for (const address of this.listAddresses()) {
      const text = await this.fetchFromPeer(address, digest);
      if (text !== undefined) return text;
    }
    return this.fetchFromStore(digest);
  }

  private listAddresses(): readonly string[] {
    const {options} = this.node;
    const addresses = this.node.listPeers().map(member => member.peerAddress);
    const others = selectRandom(addresses, MAX_PEER_ATTEMPTS, options.random);
    const preferred =
      this.preferredAddress === undefined ? [] : [this.preferredAddress];
    return [...new Set([...preferred, ...others])].slice(0, MAX_PEER_ATTEMPTS);
  }

  private async fetchFromPeer(
    address: string,
    digest: string,
  ): Promise<string | undefined> {
    const {contents, stopSignal} = this.node;
    const request = create(FetchContentRequestSchema, {
      digest: encodeDigest(digest),
      baseDigests: contents.listDigests().map(encodeDigest),
    });
    try {
      const response = await this.client.fetchContent(
        address,
        request,
        stopSignal,
      );
      const text = contents.resolveFetchedText(response);
      const isIntact = text !== undefined && digestText(text) === digest;
      return isIntact ? text : undefined;
    } catch {
      return undefined;
    }
  }

  private async fetchFromStore(digest: string): Promise<string | undefined> {
    try {
      return await readContent(this.node.headStore, digest);
    } catch {
      return undefined;
    }
  }
}
