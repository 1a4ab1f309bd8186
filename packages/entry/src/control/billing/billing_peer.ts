import type {HoldRequest} from '@anvilrudder/core';

/** An entry in another failure domain that can hold copies of records. */
export interface BillingPeer {
  readonly host: string;
  /**
   * Sends copies of records to the peer.
   *
   * @throws when the peer does not confirm that it holds them.
   */
  hold(request: HoldRequest): Promise<void>;
}
