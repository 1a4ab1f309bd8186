import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';

/** A TCP server whose behaviour is defined by the test. */
export interface TcpServer {
  readonly address: string;
  /** Request lines of the received requests. */
  readonly requestLines: readonly string[];
  stop(): Promise<void>;
}

/**
 * Starts a server that calls `onRequest` for each request. It assumes that a
 * request arrives in one chunk.
 */
export async function startTcpServer(
  onRequest: (socket: Socket, count: number) => void,
): Promise<TcpServer> {
  const requestLines: string[] = [];
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', data => {
      requestLines.push(data.toString('utf8').split('\r\n')[0]);
      onRequest(socket, requestLines.length);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    requestLines,
    stop: async () => {
      for (const socket of sockets) socket.destroy();
      server.close();
      await once(server, 'close');
    },
  };
}

/** Returns an address on which no server listens. */
export async function reserveClosedAddress(): Promise<string> {
  const server = await startTcpServer(() => {});
  await server.stop();
  return server.address;
}

/** Returns a complete HTTP response with a JSON body. */
export function formatResponse(
  status: number,
  body: unknown,
  headers = '',
): string {
  const text = JSON.stringify(body);
  return `HTTP/1.1 ${status} X\r\n${headers}content-length: ${text.length}\r\n\r\n${text}`;
}
