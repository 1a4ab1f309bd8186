import type {StandIn} from '../http/http_server.js';

/** Options that each stand-in takes. */
export const LISTEN_ARGS = {
  host: {type: 'string', default: '127.0.0.1', description: 'IP number'},
  port: {type: 'string', default: '0', description: 'TCP port; 0 takes any'},
} as const;

/** Prints the address of a started stand-in and stops it on SIGTERM. */
export async function runStandIn(startup: Promise<StandIn>): Promise<void> {
  const standIn = await startup;
  process.stdout.write(`listening address=${standIn.address}\n`);
  const stop = () => {
    void standIn.stop().then(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
