import type {StandIn} from '../http/http_server.js';

/** Command line options common to all stand-ins. */
export const LISTEN_ARGS = {
  host: {
    type: 'string',
    default: '127.0.0.1',
    description: 'IP address to listen on',
  },
  port: {
    type: 'string',
    default: '0',
    description: 'TCP port; 0: any free port',
  },
} as const;

/**
 * Prints the address of a stand-in once it listens, and stops it on SIGTERM or
 * SIGINT.
 */
export async function runStandIn(startup: Promise<StandIn>): Promise<void> {
  const standIn = await startup;
  process.stdout.write(`listening address=${standIn.address}\n`);
  const stop = () => {
    void standIn.stop().then(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
