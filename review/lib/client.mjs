// Sends requests as the clients of PROTOCOL.md do, and notes the answers.
import {Agent, request as sendRequest} from 'node:http';

const NEW_CONNECTION = new Agent({keepAlive: false});

/**
 * Sends one client attempt.
 *
 * @returns status, headers, body and whether the answer is complete; the status
 *     is undefined if the connection ended before an answer.
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
      const isComplete = response?.complete ?? false;
      const status = response?.statusCode;
      record(
        `end   ${id} ${status ?? 'no answer'}` +
          `${isComplete ? '' : ' incomplete'}${error ? ` (${error.code})` : ''}`,
      );
      resolve({
        id,
        status,
        headers: response?.headers ?? {},
        body: text,
        isComplete,
      });
    };
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
