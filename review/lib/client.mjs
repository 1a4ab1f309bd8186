// Sends requests as the clients of PROTOCOL.md do, and notes the answers.
import {Agent, request as sendRequest} from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';

const NEW_CONNECTION = new Agent({keepAlive: false});

/**
 * Sends one client attempt, and leaves at its deadline.
 *
 * @returns status, headers, body, whether the answer is complete, and the time
 *     until it was (infinite if it never was); the status is undefined if the
 *     connection ended before an answer.
 */
export function call({
  port,
  id,
  path,
  method = 'POST',
  key = 'key-1',
  deadlineMs = 1500,
  body = '',
  headers = {},
  agent = NEW_CONNECTION,
  record,
}) {
  record(`send  ${id} ${method} ${path}`);
  const sentMs = performance.now();
  return new Promise(resolve => {
    const request = sendRequest({
      agent,
      host: '127.0.0.1',
      port,
      method,
      path,
      headers: {
        host: 'desk.example',
        authorization: `Bearer ${key}`,
        'anvilrudder-request-id': id,
        'anvilrudder-deadline-ms': String(deadlineMs),
        ...headers,
      },
    });
    let response;
    let text = '';
    let isDone = false;
    const finish = error => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      const isComplete = response?.complete ?? false;
      const status = response?.statusCode;
      record(
        `end   ${id} ${status ?? 'no answer'}` +
          `${isComplete ? '' : ' incomplete'}${error ? ` (${error.code})` : ''}`,
      );
      const tookMs = performance.now() - sentMs;
      resolve({
        id,
        answerMs: isComplete ? tookMs : Infinity,
        status,
        headers: response?.headers ?? {},
        body: text,
        isComplete,
      });
    };
    const timer = setTimeout(() => {
      record(`leave ${id} at its deadline`);
      request.destroy();
    }, deadlineMs);
    request.on('error', finish);
    request.on('close', () => finish());
    request.on('response', incoming => {
      response = incoming;
      incoming.setEncoding('utf8');
      incoming.on('data', chunk => {
        text += chunk;
      });
      incoming.on('end', () => finish());
      incoming.on('error', finish);
    });
    request.end(body);
  });
}
