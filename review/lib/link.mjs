// A proxy on a loopback address whose open connections can go silent or be cut.
import {connect, createServer} from 'node:net';

/** Forwards connections to a port, until told otherwise. */
export class Link {
  constructor(targetPort) {
    this.targetPort = targetPort;
    this.pairs = new Set();
    this.server = createServer(client => this.accept(client));
  }

  static async start(targetPort) {
    const link = new Link(targetPort);
    await new Promise(resolve => {
      link.server.listen(0, '127.0.0.1', resolve);
    });
    return link;
  }

  get port() {
    return this.server.address().port;
  }

  /** Open connections pass on nothing more; new ones work. */
  silenceOpenConnections() {
    for (const pair of this.pairs) pair.isSilent = true;
  }

  stop() {
    this.server.close();
    for (const {client, target} of this.pairs) {
      client.destroy();
      target.destroy();
    }
  }

  accept(client) {
    const target = connect({host: '127.0.0.1', port: this.targetPort});
    const pair = {client, target, isSilent: false};
    this.pairs.add(pair);
    const forward = (from, to) => {
      from.setNoDelay(true);
      from.on('data', chunk => {
        if (!pair.isSilent) to.write(chunk);
      });
      from.on('error', () => undefined);
      from.on('close', () => {
        if (pair.isSilent) return;
        this.pairs.delete(pair);
        to.destroy();
      });
    };
    forward(client, target);
    forward(target, client);
  }
}
