import {listMissingDigests} from '@anvilrudder/core';
import {
  FetchContentRequestSchema,
  encodeDigest,
  type PeerClient,
} from '@anvilrudder/peers';
import {create} from '@bufbuild/protobuf';
import {digestText, readContent} from './content_store.js';
import type {KeeperNode} from './keeper_node.js';
import {selectRandom} from './selection.js';
import {Backoff, pause} from './timing.js';

/** Peers tried for a text before the store is. */
const PEER_ATTEMPTS = 2;
const RETRY_BASE_MS = 200;

/** Loads the rule files that the known head needs. */
export class ContentLoader {
  private readonly loading = new Set<string>();
  private sourceAddress: string | undefined;

  private constructor(
    private readonly node: KeeperNode,
    private readonly client: PeerClient,
  ) {
    node.onAction(action => {
      if (action.kind === 'loadContent') this.start(action.digest);
    });
  }

  static create(node: KeeperNode, client: PeerClient): ContentLoader {
    return new ContentLoader(node, client);
  }

  /** Names the peer that told of the newest head; it is asked first. */
  noteSource(address: string): void {
    this.sourceAddress = address;
  }

  private start(digest: string): void {
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
      await pause(backoff.fail(), stopSignal);
    }
  }

  private isMissing(digest: string): boolean {
    return listMissingDigests(this.node.state).includes(digest);
  }

  private async fetch(digest: string): Promise<string | undefined> {
    const kept = this.node.contents.get(digest);
    if (kept !== undefined) return kept.text;
    for (const address of this.listAddresses()) {
      const text = await this.fetchFromPeer(address, digest);
      if (text !== undefined) return text;
    }
    return this.fetchFromStore(digest);
  }

  private listAddresses(): readonly string[] {
    const {options} = this.node;
    const addresses = this.node.listPeers().map(member => member.peerAddress);
    const others = selectRandom(addresses, PEER_ATTEMPTS, options.random);
    const source = this.sourceAddress === undefined ? [] : [this.sourceAddress];
    return [...new Set([...source, ...others])].slice(0, PEER_ATTEMPTS);
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
      const text = contents.resolveFetched(response);
      const isWhole = text !== undefined && digestText(text) === digest;
      return isWhole ? text : undefined;
    } catch {
      return undefined;
    }
  }

  private async fetchFromStore(digest: string): Promise<string | undefined> {
    try {
      return await readContent(this.node.heads, digest);
    } catch {
      return undefined;
    }
  }
}
