import {createClient, type Client} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {ControlService} from '@anvilrudder/peers';
import {OPERATOR_TOKEN} from './test_deployment.js';

/** Creates a client of the control service of an entry in this process. */
export function createOperatorClient(
  peerAddress: string,
): Client<typeof ControlService> {
  const transport = createConnectTransport({
    httpVersion: '1.1',
    baseUrl: `http://${peerAddress}`,
    interceptors: [
      next => request => {
        request.header.set('authorization', `Bearer ${OPERATOR_TOKEN}`);
        return next(request);
      },
    ],
  });
  return createClient(ControlService, transport);
}
