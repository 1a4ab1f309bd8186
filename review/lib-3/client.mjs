/** A client that sends one request a connection and reports what it got. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {clearTimeout, setTimeout} from 'node:timers';

export const HOST_NAME = 'ficu95.example';
export const API_KEY = 'n2ctnfzs989anu6wsjnb';
let count = 0;

export function nextId() {
  count += 1;
  return count.toString(16).padStart(16, '0');
}

export function formatRequest(method, path, {headers = {}, body = ''} = {}) {
  const all = {
    Host: HOST_NAME,
    Authorization: `Bearer ${API_KEY}`,
    'Content-Length': Buffer.byteLength(body),
    ...headers,
  };
  const lines = Object.entries(all)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}: ${value}`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}

/** Reads the answers of a connection. */
export function parseAnswer(bytes) {
  const headEnd = bytes.indexOf('\r\n\r\n');
  if (headEnd < 0) return undefined;
  const [statusLine, ...lines] = bytes
    .toString('latin1', 0, headEnd)
    .split('\r\n');
  const headers = {};
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
  }
  const status = Number(statusLine.split(' ')[1]);
  const rest = bytes.subarray(headEnd + 4);
  if (headers['transfer-encoding'] === 'chunked') {
    return {status, headers, ...joinChunks(rest)};
  }
  const length = Number(headers['content-length'] ?? 0);
  const body = rest.toString('latin1', 0, length);
  const isWhole = rest.length >= length;
  return {status, headers, body, isWhole, usedBytes: headEnd + 4 + length};
}

function joinChunks(bytes) {
  const parts = [];
  let at = 0;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', at);
    if (lineEnd < 0) return {body: parts.join(''), isWhole: false};
    const size = parseInt(bytes.toString('latin1', at, lineEnd), 16);
    if (size === 0) return {body: parts.join(''), isWhole: true};
    if (bytes.length < lineEnd + 2 + size + 2)
      return {body: parts.join(''), isWhole: false};
    parts.push(bytes.toString('latin1', lineEnd + 2, lineEnd + 2 + size));
    at = lineEnd + 2 + size + 2;
  }
}

/** Sends a request on a connection of its own. */
export function call({front, ip = '127.0.0.1'}, method, path, options = {}) {
  const id = options.id ?? nextId();
  const headers = {'Anvilrudder-Request-Id': id, ...options.headers};
  const sentMs = Date.now();
  return new Promise(resolve => {
    const socket = connect({host: ip, port: front});
    let received = Buffer.alloc(0);
    let end = 'open';
    const finish = reason => {
      clearTimeout(timer);
      socket.destroy();
      const parsed = parseAnswer(received) ?? {status: 0, isWhole: false};
      const elapsedMs = Date.now() - sentMs;
      resolve({id, path, sentMs, elapsedMs, end: reason, ...parsed});
    };
    const timer = setTimeout(
      () => finish('timeout'),
      options.timeoutMs ?? 15_000,
    );
    socket.on('connect', () => {
      socket.write(formatRequest(method, path, {...options, headers}));
    });
    socket.on('data', chunk => {
      received = Buffer.concat([received, chunk]);
      if (parseAnswer(received)?.isWhole) finish('answered');
    });
    socket.on('error', error => (end = error.code));
    socket.on('end', () => (end = 'closed'));
    socket.on('close', () => finish(end));
  });
}
