/** Headers between a host that can't send a request and one that sends it instead. */

/** Of the request: version of the configuration that it was admitted by. */
export const RELAY_ROUTING_HEADER = 'relay-routing-version';

/** Of the response: the host has not sent the request, with its reason. */
export const RELAY_REFUSED_HEADER = 'relay-refused';

/** Of the response: the host proves that the request has not run and never will. */
export const RELAY_NOT_RUN_HEADER = 'relay-not-run';

/**
 * Why a host has not sent a relayed request. `unreached`: it has lost its links to
 * the service; `versionLost`: it lists no server of the version that the request
 * needs; `unavailable`: it reaches the service, but no server took the request;
 * `behind`: it has not applied the configuration with which the request was
 * admitted.
 */
export type RelayRefusal =
  'unreached' | 'versionLost' | 'unavailable' | 'stopping' | 'behind';
