import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Address on which a stand-in listens. */
export interface ListenOptions {
  /** IP address to listen on. Default 127.0.0.1. */
  readonly host?: string;
  /** TCP port; 0 selects any free port. Default 0. */
  readonly port?: number;
}

/** A running stand-in. */
export interface StandIn {
  /** `ip:port` of the listening socket. */
  readonly address: string;
  /** Stops listening, closes open connections and clears all timers. */
  stop(): Promise<void>;
}

/** One request with its response and parsed URL. */
export interface HttpExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /**
   * URL-decoded rest of the path after the path of the route; empty on an exact
   * match.
   */
  readonly remainingPath: string;
}

/** A method and a path with the handler of their requests. */
export interface Route {
  readonly method: string;
  /** Exact path, or a prefix when it ends in `/`. */
  readonly path: string;
  handle(exchange: HttpExchange): void | Promise<void>;
}

/** Makes the server respond with an error status. */
class HttpStatusError extends Error {
  constructor(readonly status: number) {
    super(`status ${status}`);
  }
}

const DEFAULT_HOST = '127.0.0.1';
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/**
 * Reads the body as UTF-8 text.
 *
 * @throws HttpStatusError with status 413 for a body of more than 4 MiB.
 */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_BODY_BYTES) throw new HttpStatusError(413);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/**
 * Reads the body as a JSON object; an empty body gives an empty object.
 *
 * @throws HttpStatusError with status 400 for anything but a JSON object or
 * array.
 */
export async function readJson<T>(request: IncomingMessage): Promise<T> {
  const text = await readBody(request);
  if (text === '') return {} as T;
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value !== 'object' || value === null) throw new SyntaxError();
    return value as T;
  } catch {
    throw new HttpStatusError(400);
  }
}

/**
 * Sends a status and a JSON body, unless the headers are sent or the connection
 * is closed.
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.destroyed || response.headersSent) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Waits for a time in ms, or until the connection is closed. */
export function delayResponse(
  response: ServerResponse,
  delayMs: number,
): Promise<void> {
  if (delayMs <= 0 || response.closed) return Promise.resolve();
  return new Promise(resolve => {
    const finish = () => {
      clearTimeout(timer);
      response.off('close', finish);
      resolve();
    };
    const timer = setTimeout(finish, delayMs);
    response.once('close', finish);
  });
}

/**
 * Closes the connection once the written data is flushed, without completing
 * the response.
 */
export function cutConnection(response: ServerResponse): void {
  response.socket?.destroySoon();
}

function findRoute(
  routes: readonly Route[],
  method: string,
  path: string,
): Route | undefined {
  return routes.find(
    route =>
      route.method === method &&
      (route.path.endsWith('/')
        ? path.startsWith(route.path)
        : path === route.path),
  );
}

async function handleRequest(
  routes: readonly Route[],
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://stand-in');
  const route = findRoute(routes, request.method ?? 'GET', url.pathname);
  if (route === undefined) {
    sendJson(response, 404, {code: 'not_found'});
    return;
  }
  const remainingPath = decodeURIComponent(
    url.pathname.slice(route.path.length),
  );
  try {
    await route.handle({request, response, url, remainingPath});
  } catch (error) {
    const status = error instanceof HttpStatusError ? error.status : 500;
    sendJson(response, status, {code: 'error', message: String(error)});
  }
}

function listen(server: Server, options: ListenOptions): Promise<string> {
  const {host = DEFAULT_HOST, port = 0} = options;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const bound = server.address() as AddressInfo;
      resolve(`${host}:${bound.port}`);
    });
  });
}

/**
 * Starts an HTTP server with the given routes. `onStop` is called before the
 * server closes.
 *
 * @example
 * ```ts
 * const standIn = await startHttpServer({}, [
 *   {method: 'GET', path: '/ping', handle: e => sendJson(e.response, 200, {})},
 * ]);
 * ```
 */
export async function startHttpServer(
  options: ListenOptions,
  routes: readonly Route[],
  onStop: () => void = () => {},
): Promise<StandIn> {
  const server = createServer((request, response) => {
    void handleRequest(routes, request, response);
  });
  const address = await listen(server, options);
  return {
    address,
    stop: () =>
      new Promise(resolve => {
        onStop();
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
